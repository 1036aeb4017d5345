package errkind

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write docs/ERRORS.md from the table")

const errorsPage = "../../docs/ERRORS.md"

// page returns the content of docs/ERRORS.md, generated from the table.
func page() string {
	var b strings.Builder
	b.WriteString("# Errors\n\n")
	b.WriteString("Every error that leaves a process has one of these kinds. This page is made from the\n")
	b.WriteString("table in `internal/errkind`: `go test ./internal/errkind -update`.\n\n")
	b.WriteString("Callers find the kind in the header `X-Kq-Error-Kind` and in the JSON body, the outcome in\n")
	b.WriteString("`X-Kq-Outcome`. *not-run* means that no backend server has begun the request; *unknown* that it\n")
	b.WriteString("may have run. Advice *later* comes with `Retry-After`; *same-key* means to send the request again\n")
	b.WriteString("with the same `Idempotency-Key`; *resume* means to ask for the rest of the stream at\n")
	b.WriteString("`/v1/resume/{request id}?offset=N`. Exit is the exit code of `kqctl`.\n\n")
	b.WriteString("| kind | code | HTTP | outcome | retry | log | exit | meaning |\n|---|---|---|---|---|---|---|---|\n")
	for _, r := range Table {
		fmt.Fprintf(&b, "| `%s` | %d | %d | %s | %s | %s | %d | %s |\n",
			r.Kind, r.Code, r.Status, r.Outcome, r.Retry, r.Level, r.Exit, r.Meaning)
	}
	return b.String()
}

func TestErrorsPageMatchesTheTable(t *testing.T) {
	if *update {
		if err := os.WriteFile(errorsPage, []byte(page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(errorsPage)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != page() {
		t.Error("docs/ERRORS.md differs from the table; run go test ./internal/errkind -update")
	}
}
