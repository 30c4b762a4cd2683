// Package inifile reads INI texts into typed values. It collects all problems of a text, by
// section and key, instead of stopping at the first one.
//
// Sections and keys that the program doesn't read are problems, and so are repeated ones. The
// package does no I/O.
package inifile

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// MaxProblems limits the problems that an Error lists. Further problems are only counted.
const MaxProblems = 1000

// File is a parsed INI text. It is not safe for concurrent use.
type File struct {
	err Error
	// dropped counts the problems beyond MaxProblems.
	dropped  int
	sections []*Section
	lines    lineIndex
}

// Section is one section of a File.
type Section struct {
	file   *File
	header string
	name   string
	raw    *ini.Section
	isRead bool
	// readKeys are the keys that the program has read. The others are reported as unknown.
	readKeys map[string]bool
}

// Parse parses the text. It returns an *Error if the text is longer than limit bytes or is not
// INI. Problems with values are collected and returned by Err.
func Parse(source string, text []byte, limit int) (*File, error) {
	f := &File{err: Error{Source: source}}
	if len(text) > limit {
		f.addProblem(Problem{Text: fmt.Sprintf("text of %d bytes exceeds the limit of %d", len(text), limit)})
		return nil, f.Err()
	}
	if !utf8.Valid(text) {
		f.addProblem(Problem{Text: "text is not UTF-8"})
		return nil, f.Err()
	}
	f.lines = indexLines(text)
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		f.addProblem(Problem{Text: err.Error(), Line: f.lines.lineOfError(err)})
		return nil, f.Err()
	}
	for _, raw := range parsed.Sections() {
		f.addSection(raw)
	}
	for _, p := range f.lines.duplicates {
		f.addProblem(p)
	}
	return f, nil
}

var options = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	// The library lets a section inherit keys from the section whose name precedes the
	// delimiter. No section name contains this one, so no section inherits keys.
	ChildSectionDelimiter: "\x00",
}

func (f *File) addSection(raw *ini.Section) {
	header := raw.Name()
	if header == ini.DefaultSection {
		for _, key := range raw.Keys() {
			f.addProblem(Problem{Key: key.Name(), Line: f.lines.lineOf("", key.Name()), Text: "stands outside any section"})
		}
		return
	}
	f.sections = append(f.sections, &Section{file: f, header: header, raw: raw, readKeys: map[string]bool{}})
}

// Section returns the section with this header. If the text has no such section, it returns one
// without keys.
func (f *File) Section(header string) *Section {
	for _, s := range f.sections {
		if s.header == header {
			s.isRead = true
			return s
		}
	}
	return &Section{file: f, header: header, readKeys: map[string]bool{}}
}

// NamedSections returns the sections [kind "NAME"] in the order of the text. An invalid name is
// a problem.
func (f *File) NamedSections(kind string) []*Section {
	var named []*Section
	for _, s := range f.sections {
		quoted, ok := strings.CutPrefix(s.header, kind+" ")
		if !ok {
			continue
		}
		s.isRead = true
		s.name = strings.Trim(strings.TrimSpace(quoted), `"`)
		if quoted != `"`+s.name+`"` {
			s.Errorf("", `header is not of the form [%s "NAME"]`, kind)
			s.IgnoreKeys()
			continue
		}
		if _, err := Name(s.name); err != nil {
			s.Errorf("", "%s", err)
			s.IgnoreKeys()
			continue
		}
		named = append(named, s)
	}
	return named
}

// Err returns an *Error with every problem found so far, including sections and keys that the
// program did not read, or nil. It must be called once, after everything has been read.
func (f *File) Err() error {
	for _, s := range f.sections {
		f.reportUnread(s)
	}
	if len(f.err.Problems) == 0 {
		return nil
	}
	f.err.sort()
	if f.dropped > 0 {
		text := fmt.Sprintf("%d more problems are not listed", f.dropped)
		f.err.Problems = append(f.err.Problems, Problem{Text: text})
	}
	return &f.err
}

func (f *File) reportUnread(s *Section) {
	if !s.isRead {
		s.Errorf("", "unknown section")
		return
	}
	for _, key := range s.raw.Keys() {
		if !s.readKeys[key.Name()] {
			s.Errorf(key.Name(), "unknown key")
		}
	}
}

func (f *File) addProblem(p Problem) {
	if len(f.err.Problems) >= MaxProblems {
		f.dropped++
		return
	}
	f.err.Problems = append(f.err.Problems, p)
}

// Exists reports whether the text contains the section.
func (s *Section) Exists() bool { return s.raw != nil }

// Name returns NAME of a section [kind "NAME"].
func (s *Section) Name() string { return s.name }

// Errorf adds a problem with a key, or with the whole section if key is empty.
func (s *Section) Errorf(key, format string, args ...any) {
	s.file.addProblem(Problem{
		Section: s.header,
		Key:     key,
		Line:    s.file.lines.lineOf(s.header, key),
		Text:    fmt.Sprintf(format, args...),
	})
}

// IgnoreKeys marks every key as read. It is for sections whose problem has already been
// reported, so that their keys are not reported as unknown.
func (s *Section) IgnoreKeys() {
	if s.raw == nil {
		return
	}
	for _, key := range s.raw.Keys() {
		s.readKeys[key.Name()] = true
	}
}

// lookup returns the value of a key, and whether it is present and not empty.
func (s *Section) lookup(key string) (string, bool) {
	s.readKeys[key] = true
	if s.raw == nil || !s.raw.HasKey(key) {
		return "", false
	}
	value := strings.TrimSpace(s.raw.Key(key).Value())
	return value, value != ""
}

// Optional reads an optional key. It returns def if the key is missing, empty or invalid. An
// invalid value is a problem.
func Optional[T any](s *Section, key string, def T, parse func(string) (T, error)) T {
	text, ok := s.lookup(key)
	if !ok {
		return def
	}
	value, err := parse(text)
	if err != nil {
		s.Errorf(key, "%s", err)
		return def
	}
	return value
}

// Required reads a required key. A missing, empty or invalid value is a problem and is returned
// as the zero value.
func Required[T any](s *Section, key string, parse func(string) (T, error)) T {
	var zero T
	if _, ok := s.lookup(key); !ok {
		s.Errorf(key, "is required")
		return zero
	}
	return Optional(s, key, zero, parse)
}

// List returns a parser of comma-separated lists, given the parser of one element. A repeated
// element is an error.
func List[T comparable](parse func(string) (T, error)) func(string) ([]T, error) {
	return func(text string) ([]T, error) {
		var elements []T
		seen := map[T]bool{}
		for element := range strings.SplitSeq(text, ",") {
			element = strings.TrimSpace(element)
			value, err := parse(element)
			if err != nil {
				return nil, err
			}
			if seen[value] {
				return nil, errors.Errorf("%q stands twice in the list", element)
			}
			seen[value] = true
			elements = append(elements, value)
		}
		return elements, nil
	}
}
