package telemetry

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"unicode/utf8"
)

const (
	// maxTextBytes is the maximum length of a text in a log line. Longer ones are cut, because much of what is
	// logged comes from callers and upstreams: a header field alone may have 64 KiB, and six times that as JSON.
	maxTextBytes = 1 << 10
	// StackKey is the key of a stack trace, which is never cut.
	StackKey = "stack"
)

// boundText cuts long texts, lists of texts and errors, and replaces bytes that are not valid UTF-8. It is the ReplaceAttr of
// slog.HandlerOptions.
func boundText(_ []string, a slog.Attr) slog.Attr {
	if list, ok := a.Value.Any().([]string); ok {
		return slog.Any(a.Key, boundList(list))
	}
	text, ok := textOf(a.Value)
	if !ok || a.Key == StackKey || len(text) <= maxTextBytes && utf8.ValidString(text) {
		return a
	}
	kept := strings.ToValidUTF8(text[:min(len(text), maxTextBytes)], "\uFFFD")
	if len(text) > maxTextBytes {
		kept += fmt.Sprintf("... (%d bytes)", len(text))
	}
	return slog.String(a.Key, kept)
}

// boundList returns the first texts of a list, up to maxTextBytes together, and how many there are.
func boundList(list []string) []string {
	size := 0
	for i, text := range list {
		if size += len(text); size > maxTextBytes {
			return append(slices.Clone(list[:i]), fmt.Sprintf("... (%d in all)", len(list)))
		}
	}
	return list
}

// textOf returns the text of a string or an error.
func textOf(v slog.Value) (text string, ok bool) {
	switch v.Kind() {
	case slog.KindString:
		return v.String(), true
	case slog.KindAny:
		if err, ok := v.Any().(error); ok && err != nil {
			return err.Error(), true
		}
	}
	return "", false
}
