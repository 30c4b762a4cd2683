// Command lab2 plays the scripts of the second review: it starts the project's own programs as
// separate processes on loopback addresses, with the settings that the platform gives them, and acts as
// the platform and the operator. Its argument is the number of a case. It exits with 1 if a rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses, as the issue asks for them.
const (
	statusHeld     = 0
	statusBroken   = 1
	statusNotTried = 2
)

// caseTime bounds a case; the issue allows 120 s.
const caseTime = 110 * time.Second

// cases has the function of each case. It returns whether the rule was broken.
var cases = map[string]func(context.Context, *lab, bool) (bool, error){
	"4": replaceCoreMachines,
	"5": loseSeedsAtFirstStart,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab2 CASE")
		os.Exit(statusNotTried)
	}
	os.Exit(play(os.Args[1]))
}

// play runs a case from the root of the repository and returns its exit status.
func play(name string) int {
	ctx, cancel := context.WithTimeout(context.Background(), caseTime)
	defer cancel()
	dir, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotTried
	}
	defer func() { _ = os.RemoveAll(dir) }()
	l, err := newLab(dir, filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotTried
	}
	defer l.close()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	l.record("case %s, trouble %t", name, hasTrouble)
	isBroken, err := cases[name](ctx, l, hasTrouble)
	switch {
	case err != nil:
		l.record("the case could not run: %v", err)
		return statusNotTried
	case isBroken:
		l.record("the rule was broken")
		return statusBroken
	}
	l.record("the rule held")
	return statusHeld
}
