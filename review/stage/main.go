//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// Exit codes of a script.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// errBroken marks the error of a rule that is broken.
var errBroken = errors.New("rule broken")

func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

// cases are the scripts by name. Each returns an error that wraps errBroken if the rule was broken.
var cases = map[string]func(s *stage, trouble bool) error{
	"catch-up":      catchUpOfLostDisk,
	"encoded-slash": encodedSlash,
	"other-writer":  otherWriter,
	"revoked-key":   revokedKey,
	"version-zero":  versionZero,
}

// maxTime ends a script that hangs.
const maxTime = 118 * time.Second

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE PROGRAM FOLDER TROUBLE (true or false)")
		os.Exit(exitNotRun)
	}
	trouble, err := strconv.ParseBool(os.Args[4])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	s, err := newStage(os.Args[2], filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	s.note("%s, with the trouble: %t", os.Args[1], trouble)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](s, trouble) }()
	select {
	case err = <-done:
	case <-time.After(maxTime):
		err = fmt.Errorf("the script did not end within %s", maxTime)
	}
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitNotRun
	}
	s.note("result %d: %v", code, err)
	fmt.Println("result", code, err)
	s.close()
	os.Exit(code)
}
