// Package inifile reads INI texts into typed values and collects every fault of
// a text, by section and key, instead of stopping at the first one.
//
// Sections and keys that no reader asked for are faults, and so are repeated
// ones. The package does no I/O.
package inifile

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// MaxProblems bounds the list of an Error; what goes beyond is counted only.
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
	// readKeys holds the keys that a reader asked for.
	readKeys map[string]bool
}

// Parse reads text. A text longer than limit bytes, or one that is not INI, gives
// an *Error at once; faults of values are collected until Err is called.
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
	// No name holds this delimiter, so no section inherits keys of another.
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

// Section returns the section with this header. A section that the text lacks
// reads as one without keys.
func (f *File) Section(header string) *Section {
	for _, s := range f.sections {
		if s.header == header {
			s.isRead = true
			return s
		}
	}
	return &Section{file: f, header: header, readKeys: map[string]bool{}}
}

// NamedSections returns the sections [kind "NAME"] in the order of the text. A name that
// is not well formed is a fault.
func (f *File) NamedSections(kind string) []*Section {
	var found []*Section
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
		found = append(found, s)
	}
	return found
}

// Err returns an *Error with every problem found up to now, with sections and
// keys that nothing asked for among them, or nil. It is called once, at the end.
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

// Exists reports whether the text holds the section.
func (s *Section) Exists() bool { return s.raw != nil }

// Name returns NAME of a section [kind "NAME"].
func (s *Section) Name() string { return s.name }

// Errorf records a fault of a key, or of the section where key is empty.
func (s *Section) Errorf(key, format string, args ...any) {
	s.file.addProblem(Problem{
		Section: s.header,
		Key:     key,
		Line:    s.file.lines.lineOf(s.header, key),
		Text:    fmt.Sprintf(format, args...),
	})
}

// IgnoreKeys marks every key as read, for a section whose faults were already told.
func (s *Section) IgnoreKeys() {
	if s.raw == nil {
		return
	}
	for _, key := range s.raw.Keys() {
		s.readKeys[key.Name()] = true
	}
}

// lookup returns the text of a key and whether it is there and not empty.
func (s *Section) lookup(key string) (string, bool) {
	s.readKeys[key] = true
	if s.raw == nil || !s.raw.HasKey(key) {
		return "", false
	}
	value := strings.TrimSpace(s.raw.Key(key).Value())
	return value, value != ""
}

// Optional reads an optional key. A key that is missing, empty or faulty reads as def.
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

// Required reads a key that must be there. A key that is missing, empty or faulty is
// a fault and reads as the zero value.
func Required[T any](s *Section, key string, parse func(string) (T, error)) T {
	var zero T
	if _, ok := s.lookup(key); !ok {
		s.Errorf(key, "is required")
		return zero
	}
	return Optional(s, key, zero, parse)
}

// List turns the parser of one element into the parser of a list, in which
// commas separate the elements. A repeated element is a fault.
func List[T comparable](parse func(string) (T, error)) func(string) ([]T, error) {
	return func(text string) ([]T, error) {
		var list []T
		seen := map[T]bool{}
		for part := range strings.SplitSeq(text, ",") {
			part = strings.TrimSpace(part)
			value, err := parse(part)
			if err != nil {
				return nil, err
			}
			if seen[value] {
				return nil, errors.Errorf("%q stands twice in the list", part)
			}
			seen[value] = true
			list = append(list, value)
		}
		return list, nil
	}
}
