package dispatch

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

const maxIdentityBytes = 256

// bodyFields holds the string values of the requested top-level JSON fields.
type bodyFields map[string]string

// readFields reads the wanted top-level string fields of a JSON object without
// decoding the rest. A body that is not a JSON object yields none. A duplicate
// field is refused, since a server may read the other occurrence.
func readFields(body []byte, wanted []string) (bodyFields, error) {
	if len(wanted) == 0 || len(body) == 0 {
		return nil, nil
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if tok, err := dec.Token(); err != nil || tok != json.Delim('{') {
		return nil, nil
	}
	out := bodyFields{}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return nil, errkind.Wrap(err, errkind.BadRequest, "the request body is malformed JSON")
		}
		if err := readField(dec, tok.(string), wanted, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func readField(dec *json.Decoder, name string, wanted []string, out bodyFields) error {
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "the request body is malformed JSON")
	}
	for _, w := range wanted {
		if name != w {
			continue
		}
		if _, twice := out[name]; twice {
			return errkind.New(errkind.BadRequest, "the request body has duplicate field %q", name)
		}
		var s string
		if err := json.Unmarshal(raw, &s); err != nil {
			return errkind.New(errkind.BadRequest, "field %q of the request body must be a string", name)
		}
		out[name] = s
	}
	return nil
}

// identities states where a service's requests carry the names of chat, workspace
// and model, with defaults filled in.
type identities struct{ chat, workspace, model config.NameSource }

func identitiesOf(svc *config.Service) identities {
	ids := identities{chat: svc.Chat, workspace: svc.Workspace, model: svc.Model}
	if ids.workspace == (config.NameSource{}) {
		ids.workspace.Header = HeaderWorkspace
	}
	if ids.model == (config.NameSource{}) && svc.Type == config.TypeModel {
		ids.model.JSONField = "model"
	}
	return ids
}

// fields returns the names of the body fields that must be read.
func (ids identities) fields() []string {
	var out []string
	for _, id := range []config.NameSource{ids.chat, ids.workspace, ids.model} {
		if id.JSONField != "" {
			out = append(out, id.JSONField)
		}
	}
	return out
}

// readIdentity returns the name at the declared location, or "" if there is none.
// The header takes precedence over the body field.
func readIdentity(id config.NameSource, h http.Header, f bodyFields) (string, error) {
	value := ""
	if id.Header != "" {
		values := h.Values(id.Header)
		if len(values) > 1 {
			return "", errkind.New(errkind.BadRequest, "the header %s occurs more than once", id.Header)
		}
		if len(values) == 1 {
			value = strings.TrimSpace(values[0])
		}
	}
	if value == "" && id.JSONField != "" {
		value = f[id.JSONField]
	}
	if len(value) > maxIdentityBytes {
		return "", errkind.New(errkind.BadRequest, "an identity exceeds the limit of %d bytes", maxIdentityBytes)
	}
	return value, nil
}
