package inifile

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in an INI text.
type Problem struct {
	// Section is the header without its brackets. It is empty if the problem concerns the whole
	// text.
	Section string
	// Key is empty if the problem concerns the whole section.
	Key string
	// Line counts from one. It is zero if the line is unknown.
	Line int
	// Text describes the problem.
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
