package standin

import (
	"strconv"

	"github.com/hashicorp/go-hclog"
)

func itoa(n int) string { return strconv.Itoa(n) }

func testLog() hclog.Logger { return hclog.NewNullLogger() }

func countEvents(l *Ledger, ev Event) int {
	n := 0
	for _, e := range l.Entries("") {
		if e.Event == ev {
			n++
		}
	}
	return n
}

func lastEntry(l *Ledger) Entry {
	all := l.Entries("")
	return all[len(all)-1]
}
