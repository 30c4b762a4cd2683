package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errNotRun reports that a case could not run.
var errNotRun = errors.New("the case could not run")

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(l *Lab, hasTrouble bool) (bool, error){
	"leave-and-restart": leaveAndRestart,
	"leave-and-kill":    leaveAndKill,
	"founding":          founding,
	"extra-answer":      lateHeartbeatAndExtraAnswer,
}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("node", "target/sassafraspost-node", "the node program")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the folder with the logs of the processes")
	flag.Parse()
	os.Exit(play(*name, *binary, *out, *keep))
}

// play plays a case and returns the exit status.
func play(name, binary, out string, keep bool) int {
	f := cases[name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if keep {
		fmt.Println("logs in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	binary, err = filepath.Abs(binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record := newRecord()
	isBroken, err := playIn(f, dir, binary, record)
	verdict, status := "the rule held", exitHeld
	switch {
	case err != nil:
		verdict, status = err.Error(), exitNotRun
	case isBroken:
		verdict, status = "the rule was broken", exitBroken
	}
	record.Event("%s", verdict)
	fmt.Println(verdict)
	if err := record.Save(out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return status
}

func playIn(f func(*Lab, bool) (bool, error), dir, binary string, record *Record) (bool, error) {
	l, err := newLab(dir, binary, record)
	if err != nil {
		return false, err
	}
	defer l.Close()
	return f(l, os.Getenv("TROUBLE") != "0")
}
