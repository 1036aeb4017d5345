package config

import (
	"bytes"

	"gopkg.in/yaml.v3"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const yamlIndent = 2

// YAML returns the objects with the keys as declarations that LoadDir can read.
func (s *Set) YAML(keys []ObjectKey) ([]byte, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(yamlIndent)
	for _, k := range keys {
		o := s.get(k)
		if o == nil {
			return nil, errkind.New(errkind.NotFound, "there is no %s", k)
		}
		var n yaml.Node
		if err := n.Encode(o); err != nil {
			return nil, errkind.Wrap(err, errkind.Internal, "encode %s", k)
		}
		kind := []*yaml.Node{
			{Kind: yaml.ScalarNode, Value: "kind"},
			{Kind: yaml.ScalarNode, Value: k.Kind},
		}
		n.Content = append(kind, n.Content...)
		if err := enc.Encode(&n); err != nil {
			return nil, errkind.Wrap(err, errkind.Internal, "encode %s", k)
		}
	}
	if err := enc.Close(); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "encode declarations")
	}
	return b.Bytes(), nil
}
