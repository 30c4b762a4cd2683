package inifile

import (
	"strings"

	"gopkg.in/ini.v1"
)

// position identifies a key in a section, or the header of the section if key is empty.
type position struct{ section, key string }

// lineIndex maps headers and keys to their lines, which the INI library does not report. It
// ignores values.
type lineIndex struct {
	text       []string
	lines      map[position]int
	duplicates []Problem
}

func indexLines(text []byte) lineIndex {
	x := lineIndex{
		text:  strings.Split(string(text), "\n"),
		lines: map[position]int{},
	}
	section := ""
	for i, line := range x.text {
		line = strings.TrimSpace(strings.TrimPrefix(line, "\ufeff"))
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = headerOf(line)
			x.record(position{section: section}, i+1)
		default:
			key, _, _ := strings.Cut(line, "=")
			x.record(position{section: section, key: strings.TrimSpace(key)}, i+1)
		}
	}
	return x
}

// headerOf returns the text between the brackets of a header line.
func headerOf(line string) string {
	line = line[1:]
	if end := strings.LastIndexByte(line, ']'); end >= 0 {
		line = line[:end]
	}
	return strings.TrimSpace(line)
}

func (x *lineIndex) record(p position, line int) {
	if _, ok := x.lines[p]; !ok {
		x.lines[p] = line
		return
	}
	text := "stands twice"
	if p.key == "" {
		text = "section stands twice"
	}
	x.duplicates = append(x.duplicates, Problem{Section: p.section, Key: p.key, Line: line, Text: text})
}

// lineOf returns the line of a key. If the key is missing, it returns the line of the section's
// header, or zero.
func (x *lineIndex) lineOf(section, key string) int {
	if line, ok := x.lines[position{section, key}]; ok {
		return line
	}
	return x.lines[position{section: section}]
}

// lineOfError returns the line that the library could not parse, or zero.
func (x *lineIndex) lineOfError(err error) int {
	delimiterErr, ok := err.(ini.ErrDelimiterNotFound)
	if !ok {
		return 0
	}
	for i, line := range x.text {
		if strings.TrimSpace(line) == strings.TrimSpace(delimiterErr.Line) {
			return i + 1
		}
	}
	return 0
}
