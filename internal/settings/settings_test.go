package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

type sampleSettings struct {
	Name   string            `yaml:"name"`
	Wait   time.Duration     `yaml:"wait"`
	Peers  []peer            `yaml:"peers"`
	Labels map[string]string `yaml:"labels"`
	Extra  *int              `yaml:"extra"`
	Log    `yaml:",inline"`
	Hidden string `yaml:"-"`
}

type peer struct {
	ID   string `yaml:"id"`
	Port uint16 `yaml:"port"`
}

func load(t *testing.T, text string) (sampleSettings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var s sampleSettings
	err := Load(path, &s)
	if err != nil {
		err = errkind.New(errkind.Of(err), "%s", strings.ReplaceAll(err.Error(), filepath.Dir(path)+"/", ""))
	}
	return s, err
}

func TestLoadFillsEveryField(t *testing.T) {
	s, err := load(t, "name: a\nwait: 250ms\npeers: [{id: x, port: 7}]\nlabels: {free: text}\nextra: 3\nlevel: debug\n")
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "a" || s.Wait != 250*time.Millisecond || s.Peers[0].Port != 7 || s.Labels["free"] != "text" || *s.Extra != 3 || s.Level != "debug" {
		t.Errorf("loaded %+v", s)
	}
}

func TestLoadListsEveryFault(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       []string
	}{
		{"many at once", "nmae: a\nwait: 10\npeers:\n  - {id: [x], port: 70000}\n  - {idd: y}\nextra: x\nHidden: z\n", []string{
			`s.yaml:1: nmae: unknown field; did you mean "name"?`,
			`s.yaml:2: wait: "10" has no unit; write a duration such as 10s`,
			"s.yaml:4: peers[0].port: \"70000\" is not a whole number of 0 or more in range",
			`s.yaml:5: peers[1].idd: unknown field; did you mean "id"?`,
			`s.yaml:6: extra: "x" is not a whole number in range`,
			`s.yaml:7: Hidden: unknown field; the fields here are extra, format, labels, level, name, peers, wait`,
		}},
		{"a repeated field", "name: a\nname: b\n", []string{`s.yaml:2: name: mapping key "name" already defined at line 1`}},
		{"an alias", "name: &a x\nlevel: *a\n", []string{"s.yaml:1: name: anchors and aliases are not supported"}},
		{"two documents", "name: a\n---\nname: b\n", []string{"the file holds more than one document"}},
		{"an empty file", "", []string{"s.yaml:1: the file is empty"}},
		{"no YAML", "a: b: c\n", []string{"s.yaml:1: mapping values are not allowed"}},
	} {
		_, err := load(t, tc.text)
		if !errkind.Is(err, errkind.InvalidSettings) {
			t.Errorf("%s: %v", tc.name, err)
			continue
		}
		for _, want := range tc.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: %q is missing from:\n%v", tc.name, want, err)
			}
		}
	}
	if err := Load(filepath.Join(t.TempDir(), "none.yaml"), &sampleSettings{}); !errkind.Is(err, errkind.InvalidSettings) {
		t.Errorf("error for a missing file: %v", err)
	}
}
