package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/control"
	"github.com/kumquathollow/kumquathollow/internal/router"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// documentedFields reads the tables of docs/CONFIGURATION.md. It returns, for each
// heading of level three, the fields in order with their defaults.
func documentedFields(t *testing.T) map[string][][2]string {
	t.Helper()
	data, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string][][2]string{}
	heading := ""
	for _, line := range strings.Split(string(data), "\n") {
		if h, ok := strings.CutPrefix(line, "### "); ok {
			heading = h
		}
		cells := strings.Split(line, "|")
		if len(cells) == 6 && strings.HasPrefix(cells[1], " `") {
			field := strings.Trim(cells[1], " `")
			rows[heading] = append(rows[heading], [2]string{field, strings.Trim(cells[3], " `")})
		}
	}
	return rows
}

// codeFields returns the YAML fields of v in order, with their values in v as the
// defaults.
func codeFields(v reflect.Value, prefix string) [][2]string {
	var rows [][2]string
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name == "" || name == "-" {
			continue
		}
		fv := v.Field(i)
		rows = append(rows, [2]string{prefix + name, defaultText(fv)})
		switch {
		case fv.Kind() == reflect.Struct:
			rows = append(rows, codeFields(fv, prefix+name+".")...)
		case fv.Kind() == reflect.Slice && fv.Type().Elem().Kind() == reflect.Struct:
			rows = append(rows, codeFields(fv.Index(0), prefix+name+"[].")...)
		}
	}
	return rows
}

// defaultText returns a default value in the notation of the page.
func defaultText(v reflect.Value) string {
	if d, ok := v.Interface().(config.Duration); ok && d != 0 {
		return d.String()
	}
	if v.Kind() == reflect.Pointer && !v.IsNil() {
		v = v.Elem()
	}
	switch {
	case v.Kind() == reflect.Struct:
		return "mapping"
	case v.Kind() == reflect.Slice && v.Len() == 1 && v.Type().Elem().Kind() == reflect.String:
		return v.Index(0).String()
	case v.Kind() == reflect.Slice && v.Len() > 0:
		return "list"
	case v.Kind() == reflect.Bool:
		return fmt.Sprint(v.Bool())
	case v.IsZero():
		return "none"
	}
	return fmt.Sprint(v.Interface())
}

// sameDefault reports whether the default on the page is the one in the code. A
// required field and a mapping have no default to compare.
func sameDefault(page, code string) bool {
	switch page {
	case "required":
		return code == "none" || code == "list" || code == "mapping"
	case "see below":
		return true
	}
	if d, err := time.ParseDuration(page); err == nil {
		if c, err := time.ParseDuration(code); err == nil {
			return d == c
		}
	}
	return page == code || page == "none" && (code == "mapping" || code == "none")
}

func TestConfigurationPageMatchesTheCode(t *testing.T) {
	set := config.NewSet(config.Revision{}).WithObjects(
		&config.DataCentre{LeaseVoters: []config.LeaseVoter{{}}},
		&config.Service{Type: config.TypeModel, Routes: []config.Route{{}}},
		&config.BackendServer{}, &config.Workspace{}, &config.Policy{},
	).WithDefaults()
	set.Services[""].Type = ""
	pages := map[string]any{
		"DataCentre":    *set.DataCentres[""],
		"Service":       *set.Services[""],
		"BackendServer": *set.BackendServers[""],
		"Workspace":     *set.Workspaces[""],
		"Policy":        *set.Policies[""],
		"kqctl":         Settings{Timeout: config.Duration(defaultTimeout)},
		"kqrouter":      routerDefaults(t),
		"kqcontrol":     control.Settings{Voters: []control.VoterSetting{{}}, Log: settings.Log{}.WithDefaults()},
	}
	rows := documentedFields(t)
	for heading, v := range pages {
		want := codeFields(reflect.ValueOf(v), "")
		got := rows[heading]
		for i := range max(len(want), len(got)) {
			if i >= len(want) || i >= len(got) || want[i][0] != got[i][0] {
				t.Errorf("%s: the page lists %v, the code has %v", heading, fieldNames(got), fieldNames(want))
				break
			}
			if !sameDefault(got[i][1], want[i][1]) {
				t.Errorf("%s: %s: the page says default %q, the code %q", heading, got[i][0], got[i][1], want[i][1])
			}
		}
	}
}

// routerDefaults returns the settings of a router with default values filled in.
func routerDefaults(t *testing.T) router.Settings {
	t.Helper()
	path := filepath.Join(t.TempDir(), "r.yaml")
	minimal := `{name: r, dataCentre: d, control: ["127.0.0.1:1"],
		listen: {callers: "127.0.0.1:1", announce: "127.0.0.1:1", fleet: "127.0.0.1:1", admin: "127.0.0.1:1"}}`
	if err := os.WriteFile(path, []byte(minimal), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := router.LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	s.Name, s.DataCentre, s.Control, s.Listen = "", "", nil, router.Addresses{}
	s.Log = s.Log.WithDefaults()
	return *s
}

func fieldNames(rows [][2]string) []string {
	var out []string
	for _, r := range rows {
		out = append(out, r[0])
	}
	return out
}

func TestExampleSettingsAreRead(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/settings/*.yaml")
	if err != nil || len(files) < 20 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		name := filepath.Base(file)
		switch {
		case name == "kqctl.yaml":
			err = settings.Load(file, &Settings{})
		case name[0] == 'c':
			_, err = control.LoadSettings(file)
		case name[0] == 'r' && name != "replay.yaml":
			_, err = router.LoadSettings(file)
		default:
			err = nil
		}
		if err != nil {
			t.Error(err)
		}
	}
}
