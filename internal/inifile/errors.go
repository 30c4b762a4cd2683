package inifile

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of an INI text.
type Problem struct {
	// Section is the header without its brackets; empty for the text as a whole.
	Section string
	// Key is empty where the section as a whole is at fault.
	Key string
	// Line counts from one; zero where no line can be named.
	Line int
	// Text says what is wrong.
	Text string
}

// String returns the problem on one line.
func (p Problem) String() string {
	text := p.location() + p.Text
	if p.Line > 0 {
		text += fmt.Sprintf(" (line %d)", p.Line)
	}
	return text
}

func (p Problem) location() string {
	switch {
	case p.Section == "" && p.Key == "":
		return ""
	case p.Section == "":
		return p.Key + ": "
	case p.Key == "":
		return "[" + p.Section + "]: "
	}
	return "[" + p.Section + "] " + p.Key + ": "
}

// Error holds every problem of one INI text, in the order of its lines.
type Error struct {
	// Source names the text in messages, such as "settings".
	Source   string
	Problems []Problem
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = e.Source + ": " + p.String()
	}
	return strings.Join(lines, "\n")
}

func (e *Error) sort() {
	slices.SortStableFunc(e.Problems, func(a, b Problem) int { return a.Line - b.Line })
}
