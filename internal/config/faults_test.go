package config

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestFaults compares all faults of each file under testdata/faults with its golden
// file.
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/faults/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no files", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			_, err = Parse(filepath.Base(file), data)
			if !errkind.Is(err, errkind.InvalidDeclarations) {
				t.Fatalf("kind %q: %v", errkind.Of(err), err)
			}
			got := FaultsOf(err).Error() + "\n"
			golden := strings.TrimSuffix(file, ".yaml") + ".golden"
			if *update {
				if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("got:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

func TestLoadDirReadsAllFilesAndNamesThem(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"a.yaml":       "kind: Policy\nname: p\n",
		"sub/b.yml":    "kind: Policy\nname: p\n",
		".hidden.yaml": "kind: Nothing\n",
		"notes.txt":    "not read",
	} {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	_, err := LoadDir(dir)
	fs := FaultsOf(err)
	if len(fs) != 1 || fs[0].File != filepath.Join(dir, "sub/b.yml") || !strings.Contains(fs[0].Message, "a.yaml:1") {
		t.Errorf("faults: %v", err)
	}
	if _, err := LoadDir(t.TempDir()); !errkind.Is(err, errkind.InvalidDeclarations) {
		t.Errorf("error for an empty directory: %v", err)
	}
}

func TestExamplesHaveNoFaults(t *testing.T) {
	dirs, err := filepath.Glob("../../examples/*/declarations")
	if err != nil || len(dirs) < 3 {
		t.Fatal(dirs, err)
	}
	for _, dir := range dirs {
		if _, err := LoadDir(dir); err != nil {
			t.Errorf("%s: %v", dir, err)
		}
	}
}

func TestLeaseVotersChangeOneAtATime(t *testing.T) {
	voters := func(names string) *Set {
		d := &DataCentre{Name: "dc", Region: "r"}
		for _, n := range strings.Fields(names) {
			name, address, _ := strings.Cut(n, "@")
			d.LeaseVoters = append(d.LeaseVoters, LeaseVoter{Name: name, Address: "127.0.0.1:" + address, Candidate: true})
		}
		return NewSet(Revision{}).WithObjects(d)
	}
	for _, tc := range []struct {
		name, old, now string
		ok             bool
	}{
		{"same", "a@1 b@2 c@3", "c@3 a@1 b@2", true},
		{"one added", "a@1 b@2 c@3", "a@1 b@2 c@3 d@4", true},
		{"one removed", "a@1 b@2 c@3 d@4", "a@1 b@2 d@4", true},
		{"one replaced", "a@1 b@2 c@3", "a@1 b@2 d@4", false},
		{"address changed", "a@1 b@2 c@3", "a@1 b@2 c@9", false},
		{"two added", "a@1", "a@1 b@2 c@3", false},
		{"two removed", "a@1 b@2 c@3", "a@1", false},
	} {
		err := CheckChange(voters(tc.old), voters(tc.now))
		if (err == nil) != tc.ok {
			t.Errorf("%s: %v", tc.name, err)
		}
		if changed := len(DataCentresWithVoterChanges(voters(tc.old), voters(tc.now))) == 1; changed != (tc.name != "same") {
			t.Errorf("%s: data centre listed as changed: %v", tc.name, changed)
		}
	}
	if err := CheckChange(NewSet(Revision{}), voters("a@1 b@2")); err != nil {
		t.Errorf("adding a data centre: %v", err)
	}
}

// FuzzParse checks that no input makes the loader panic, and that accepted
// declarations survive being written as YAML and parsed again.
func FuzzParse(f *testing.F) {
	seeds, _ := filepath.Glob("testdata/faults/*.yaml")
	examples, _ := filepath.Glob("../../examples/*/declarations/*.yaml")
	for _, file := range append(seeds, examples...) {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(sampleYAML))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.yaml", data)
		if err != nil {
			if len(FaultsOf(err)) == 0 {
				t.Fatalf("error lists no faults: %v", err)
			}
			return
		}
		text, err := s.YAML(s.Keys())
		if err != nil {
			t.Fatal(err)
		}
		back, err := Parse("again.yaml", text)
		if err != nil {
			t.Fatalf("written YAML was rejected: %v\n%s", err, text)
		}
		if up, del, err := Diff(s, back); err != nil || len(up)+len(del) > 0 {
			t.Fatalf("written YAML differs from the parsed set: %v %v %v", up, del, err)
		}
	})
}
