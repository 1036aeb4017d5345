package trace

import (
	"bytes"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/standin"
)

func TestGenerateIsAFunctionOfTheSeed(t *testing.T) {
	for name, p := range Profiles() {
		a, b, c := Generate(p, 1), Generate(p, 1), Generate(p, 2)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: equal seeds give different traces", name)
		}
		if reflect.DeepEqual(a, c) {
			t.Errorf("%s: different seeds give equal traces", name)
		}
	}
}

func TestTraceHasTheShapeOfItsProfile(t *testing.T) {
	p := Profiles()["maracas"]
	kinds, resends, returns := map[Kind]int{}, 0, 0
	workspaces, keys := map[string]int{}, map[string]Record{}
	lastTurn := map[string]time.Duration{}
	records := Generate(p, 1)
	for _, r := range records {
		kinds[r.Kind]++
		workspaces[r.Workspace]++
		if len(r.Messages) > 2 {
			returns++
		}
		if r.Kind == KindModel {
			if before, ok := lastTurn[r.Chat]; ok && r.At()-before < p.MinPause-time.Millisecond {
				t.Fatalf("%s continues after %v, less than the minimum pause", r.Chat, r.At()-before)
			}
			lastTurn[r.Chat] = r.At()
		}
		if r.Kind != KindOnce {
			continue
		}
		first, seen := keys[r.Key]
		if seen != r.Resend {
			t.Fatalf("key %s: seen %v, resend %v", r.Key, seen, r.Resend)
		}
		if seen {
			resends++
			a, _ := first.Body()
			b, _ := r.Body()
			if !bytes.Equal(a, b) {
				t.Fatalf("key %s: the resend has another body", r.Key)
			}
		}
		keys[r.Key] = r
	}
	want := p.Rate * p.Duration.Seconds()
	if n := float64(len(records)); n < want*0.9 || n > want*1.2 {
		t.Errorf("%v records, want about %v", n, want)
	}
	if kinds[KindModel] < kinds[KindLookup] || kinds[KindOnce] == 0 || resends == 0 || returns < kinds[KindModel]/2 {
		t.Errorf("kinds %v, resends %d, returns %d", kinds, resends, returns)
	}
	if len(workspaces) != 10 || workspaces[p.Workspaces[0]] < 3*workspaces[p.Workspaces[9]] {
		t.Errorf("workspaces %v", workspaces)
	}
}

func TestReturningChatRepeatsItsPrefix(t *testing.T) {
	first := Record{Workspace: "w", Chat: "c", Messages: []int{64, 40}}
	second := Record{Workspace: "w", Chat: "c", Messages: []int{64, 40, 30, 20}}
	other := Record{Workspace: "w", Chat: "d", Messages: []int{64, 40}}
	prompt := func(r Record) []byte { return standin.ModelBody{Messages: r.chatMessages()}.Prompt() }
	if !bytes.HasPrefix(prompt(second), prompt(first)) {
		t.Error("a continued chat does not repeat its earlier messages")
	}
	const system = 64 * standin.BytesPerToken
	if !bytes.Equal(prompt(other)[:system], prompt(first)[:system]) || bytes.Equal(prompt(other), prompt(first)) {
		t.Error("chats of a workspace must share the system prompt and nothing else")
	}
}

func TestWriteAndRead(t *testing.T) {
	want := Generate(Profiles()["brinco"], 3)
	var b bytes.Buffer
	if err := Write(&b, want); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&b)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%d records read, %v; want %d", len(got), err, len(want))
	}
}

func TestReadRefuses(t *testing.T) {
	for name, in := range map[string]string{
		"unknown field": `{"at":1,"kind":"model","workspace":"w","path":"/","colour":1}`,
		"not ordered":   "{\"at\":2,\"kind\":\"lookup\",\"workspace\":\"w\",\"path\":\"/\"}\n{\"at\":1,\"kind\":\"lookup\",\"workspace\":\"w\",\"path\":\"/\"}",
		"not JSON":      "at 1",
	} {
		if _, err := Read(strings.NewReader(in)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestCommittedTracesAreThoseOfSeedOne(t *testing.T) {
	for name, p := range Profiles() {
		got, err := ReadFile("../../examples/" + name + "/trace.jsonl")
		if err != nil || !reflect.DeepEqual(got, Generate(p, 1)) {
			t.Errorf("examples/%s/trace.jsonl differs (%v): run kqreplay generate -p %s", name, err, name)
		}
	}
}

// Guards against a trace that cannot be read to its end and is replayed as if its beginning were all of it.
func TestATraceThatCannotBeReadIsAnError(t *testing.T) {
	var text bytes.Buffer
	if err := Write(&text, Generate(Profiles()["maracas"], 1)[:3]); err != nil {
		t.Fatal(err)
	}
	records := bytes.SplitAfter(text.Bytes(), []byte("\n"))
	if _, err := Read(io.MultiReader(bytes.NewReader(records[0]), iotest.ErrReader(io.ErrClosedPipe))); err == nil {
		t.Error("a trace that fails after its first record was read as whole")
	}
	if got, err := Read(&text); err != nil || len(got) != 3 {
		t.Errorf("%d records, %v, want 3", len(got), err)
	}
}
