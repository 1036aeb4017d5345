package config

import (
	"testing"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
)

const sampleYAML = `
kind: Policy
name: standard
maxLoadFactor: 1.5
coldRamp: 20s
---
kind: DataCentre
name: tt-north-a
region: tt-north
leaseVoters:
  - {name: r1, address: "127.0.0.1:7301", candidate: true}
---
kind: Service
name: writer
type: model
models: [m1]
policy: standard
routes:
  - path: /v1/chat/completions
    deadline: 60s
---
kind: Workspace
name: arima
keyHash: ""
`

func sample(t testing.TB) *Set {
	t.Helper()
	s, err := Parse("sample.yaml", []byte(sampleYAML))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestObjectsRoundTrip(t *testing.T) {
	s := sample(t)
	objs, err := s.Objects()
	if err != nil {
		t.Fatal(err)
	}
	rev := Revision{Epoch: 1, Number: 7}
	back, err := FromObjects(rev, objs)
	if err != nil {
		t.Fatal(err)
	}
	up, del, err := Diff(s, back)
	if err != nil || len(up)+len(del) > 0 {
		t.Fatalf("the decoded set differs: %v %v %v", up, del, err)
	}
	if back.Revision != rev {
		t.Fatalf("revision %v", back.Revision)
	}
}

func TestApplySharesUnchangedAndLeavesTheOld(t *testing.T) {
	s := sample(t)
	changed := &controlpb.Object{Kind: KindWorkspace, Name: "arima", Body: []byte(`{"name":"arima","weight":7}`)}
	next, err := s.Apply(Revision{1, 2}, []*controlpb.Object{changed}, []*controlpb.ObjectKey{{Kind: KindPolicy, Name: "standard"}})
	if err != nil {
		t.Fatal(err)
	}
	if next.Services["writer"] != s.Services["writer"] {
		t.Error("an unchanged object is not shared")
	}
	if s.Workspaces["arima"].Weight != 0 || s.Policies["standard"] == nil {
		t.Error("Apply changed the old set")
	}
	if next.Workspaces["arima"].Weight != 7 || next.Policies["standard"] != nil {
		t.Error("Apply lost a change")
	}
	up, del, err := Diff(s, next)
	if err != nil || len(up) != 1 || len(del) != 1 {
		t.Fatalf("Diff gave %d upserts, %d deletes, %v", len(up), len(del), err)
	}
	again, err := s.Apply(Revision{1, 2}, up, del)
	if err != nil {
		t.Fatal(err)
	}
	if up, del, _ := Diff(next, again); len(up)+len(del) > 0 {
		t.Fatalf("applying the diff gives a different set: %v %v", up, del)
	}
}

func TestDecodeRejectsUnknownAndMismatchedObjects(t *testing.T) {
	for name, w := range map[string]*controlpb.Object{
		"unknown kind":  {Kind: "Zone", Name: "x", Body: []byte(`{"name":"x"}`)},
		"unknown field": {Kind: KindPolicy, Name: "x", Body: []byte(`{"name":"x","newer":1}`)},
		"other name":    {Kind: KindPolicy, Name: "x", Body: []byte(`{"name":"y"}`)},
		"no JSON":       {Kind: KindPolicy, Name: "x", Body: []byte(`{`)},
	} {
		if _, err := FromObjects(Revision{}, []*controlpb.Object{w}); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

func TestWithDefaultsFromSharesDefaultedObjects(t *testing.T) {
	s := sample(t)
	defaulted := s.WithDefaults()
	if defaulted.WithDefaults() != defaulted {
		t.Error("WithDefaults copies a set that already has its defaults")
	}
	if s.DataCentres["tt-north-a"].Weight != 0 {
		t.Error("WithDefaults changed the declared set")
	}
	next, err := s.Apply(Revision{1, 2}, []*controlpb.Object{{Kind: KindPolicy, Name: "more", Body: []byte(`{"name":"more"}`)}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	nextDefaulted := next.WithDefaultsFrom(s, defaulted)
	if nextDefaulted.Services["writer"] != defaulted.Services["writer"] {
		t.Error("defaults were applied again to an unchanged object")
	}
	if nextDefaulted.Policies["more"].MaxAttempts != DefaultMaxAttempts {
		t.Error("no defaults were applied to a new object")
	}
}
