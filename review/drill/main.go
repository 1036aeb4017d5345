//go:build review

// Command drill runs one case of the review: it starts a small deployment of the project's own programs on loopback
// addresses, with stand-ins of the servers, the clients and the operator, disturbs it and checks one rule.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns whether its rule held.
var cases = map[string]func(rec *record, trouble bool) (held bool, err error){
	"snapshot":    runSnapshot,
	"successor":   runSuccessor,
	"first-start": runFirstStart,
	"same-id":     runSameID,
	"core-kill":   runCoreKill,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	held, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	code := 0
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		code = 2
	case !held:
		rec.say("the rule was broken")
		code = 1
	default:
		rec.say("the rule held")
	}
	rec.close()
	os.Exit(code)
}
