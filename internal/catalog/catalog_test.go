package catalog

import (
	"strings"
	"testing"
	"time"
)

func valid() Set {
	return Set{
		Version:  7,
		Services: []Service{{Name: "chat"}, {Name: "pay"}},
		Routes: []Route{
			{Name: "a", Host: "h.example", Prefix: "/a/", Timeout: time.Second, Split: []Share{{"chat", 90}, {"pay", 10}}},
			{Name: "ab", Host: "h.example", Prefix: "/a/b/", Timeout: time.Second, Split: []Share{{"pay", 1}}},
			{Name: "other", Host: "o.example", Prefix: "/a/", Timeout: time.Second, Split: []Share{{"pay", 1}}},
		},
		Workspaces: []Workspace{{Name: "w1", Keys: []string{"k1", "k2"}}, {Name: "w2", Keys: []string{"k3"}}},
	}
}

func TestFindTakesTheLongestPrefixOfTheHost(t *testing.T) {
	set, err := New(valid())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "a"},
		{"h.example", "/a/b/x", "ab"},
		{"H.Example:80", "/a/b/", "ab"},
		{"h.example", "/a/b", "a"},
		{"o.example", "/a/b/x", "other"},
		{"h.example", "/b/", ""},
		{"x.example", "/a/", ""},
	} {
		got := ""
		if r := set.FindRoute(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("Find(%q, %q) = %q, want %q", c.host, c.path, got, c.want)
		}
	}
	if w := set.WorkspaceByKey("k2"); w == nil || w.Name != "w1" {
		t.Errorf("workspace of key k2 = %v, want w1", w)
	}
	if set.WorkspaceByKey("") != nil || set.WorkspaceByKey("k4") != nil {
		t.Error("an unknown key belongs to a workspace")
	}
}

func TestNewRejectsAnInvalidSet(t *testing.T) {
	for name, c := range map[string]struct {
		corrupt func(*Set)
		want    string
	}{
		"unknown service":   {func(s *Set) { s.Routes[0].Split[1].Service = "gone" }, `service "gone" does not exist`},
		"same prefix":       {func(s *Set) { s.Routes[1].Prefix = "/a/" }, `share host "h.example" and prefix "/a/"`},
		"same prefix, case": {func(s *Set) { s.Routes[2].Host = "H.EXAMPLE" }, "share host"},
		"no weight":         {func(s *Set) { s.Routes[0].Split = []Share{{"chat", 0}, {"pay", 0}} }, "weights add up to 0"},
		"negative weight":   {func(s *Set) { s.Routes[0].Split[0].Weight = -1 }, "negative"},
		"no split":          {func(s *Set) { s.Routes[0].Split = nil }, "weights add up to 0"},
		"no timeout":        {func(s *Set) { s.Routes[0].Timeout = 0 }, "timeout must be positive"},
		"no host":           {func(s *Set) { s.Routes[0].Host = "" }, "has no host"},
		"no final slash":    {func(s *Set) { s.Routes[0].Prefix = "/a" }, "must begin and end with a slash"},
		"shared key":        {func(s *Set) { s.Workspaces[1].Keys = []string{"k3", "k1"} }, `workspaces "w1" and "w2" share a key`},
		"service twice":     {func(s *Set) { s.Services[1].Name = "chat" }, "declared twice"},
	} {
		s := valid()
		c.corrupt(&s)
		if _, err := New(s); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", name, err, c.want)
		}
	}
}

func TestChooseFollowsTheWeights(t *testing.T) {
	r := valid().Routes[0]
	n := 0
	for i := range 1000 {
		if r.ChooseService(float64(i)/1000) == "pay" {
			n++
		}
	}
	if n != 100 {
		t.Errorf("%d of 1000 requests at a weight of 10 in 100, want 100", n)
	}
}
