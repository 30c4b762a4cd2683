package document

import (
	"crypto/sha256"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func readExample(t testing.TB, name string) []byte {
	text, err := os.ReadFile("../../examples/" + name + ".ini")
	require.NoError(t, err)
	return text
}

func mustParse(t testing.TB, text string) *Document {
	d, err := Parse([]byte(text))
	require.NoError(t, err)
	return d
}

func TestExampleDocumentsAreValid(t *testing.T) {
	entries := mustParse(t, string(readExample(t, "entries")))
	outlooks := mustParse(t, string(readExample(t, "outlooks")))
	require.NoError(t, CheckConflicts([]*Document{entries, outlooks}))

	require.Equal(t, Digest(sha256.Sum256(readExample(t, "entries"))), entries.Digest)
	require.Equal(t, 10*time.Second, entries.Priority("season").Deadline)
	require.Equal(t, "marshals", entries.WorkspaceByToken(sha256.Sum256([]byte("example-marshal-token"))).Name)
	require.Nil(t, entries.WorkspaceByToken(sha256.Sum256([]byte("other"))))
	require.True(t, entries.Workspace("clubs").Models.Allows("drafter"))
	require.False(t, outlooks.Workspace("apps").Services.Allows("dispatch"))
	require.Equal(t, "outlook", outlooks.Model("outlook").Pool)
}

func TestCallForMatchesMethodAndPath(t *testing.T) {
	d := mustParse(t, string(readExample(t, "entries")))
	require.Equal(t, "book", d.CallFor("POST", "/slots/7/bookings").Name)
	require.Equal(t, "pay", d.CallFor("POST", "/slots/payments/7/parts").Name)
	require.Equal(t, "read", d.CallFor("GET", "/slots/7").Name)
	require.True(t, d.CallFor("GET", "/slots").Idempotent)
	require.Nil(t, d.CallFor("POST", "/slots/7"))
	require.Nil(t, d.CallFor("GET", "/slotsx/7"))
	require.Nil(t, d.CallFor("GET", "/v1/models"))
}

func TestCallWithMostLiteralSegmentsWins(t *testing.T) {
	d := mustParse(t, `
[service]
name = a
[plain-service "s"]
path-prefix = /s
[call "wide"]
service = s
method = *
path = /s/**
idempotent = true
[call "once"]
service = s
method = POST
path = /s/*
[call "exact"]
service = s
method = POST
path = /s/query
idempotent = true
`)
	require.Equal(t, "exact", d.CallFor("POST", "/s/query").Name)
	require.Equal(t, "once", d.CallFor("POST", "/s/book").Name)
	require.Equal(t, "wide", d.CallFor("POST", "/s/book/it").Name)
}

// A non-idempotent call must not escape its pattern through dots or repeated slashes in the
// path, since it could then be treated as idempotent and run twice.
func TestEquivalentPathsMatchTheSameCall(t *testing.T) {
	d := mustParse(t, string(readExample(t, "entries")))
	rapid.Check(t, func(t *rapid.T) {
		separator := rapid.SampledFrom([]string{"/", "//", "/./", "/x/../", "/./x/.././"})
		spelling := separator.Draw(t, "a") + "slots" + separator.Draw(t, "b") + "7" +
			separator.Draw(t, "c") + "bookings" + rapid.SampledFrom([]string{"", "/", "/."}).Draw(t, "end")
		call := d.CallFor("POST", spelling)
		if call == nil || call.Idempotent {
			t.Fatalf("%q does not find the booking call", spelling)
		}
	})
}

func TestParseReportsAllProblems(t *testing.T) {
	_, err := Parse([]byte(`[service]
name = a b
[objective]
skew-weight = -1
deadline = soon
[model "m"]
role = both
[group "g"]
model = n
ranks = 2
experts = 64
layers = 1
slots-per-rank = 3
[plain-service "s"]
path-prefix = /v1/x
[call "c"]
service = t
method = GRAB
path = s
[call "d"]
service = s
method = POST
path = /x/*y
[priority "p"]
rank = 9
[workspace "w"]
share = 0
priority = q
models = m, o
token-sha256 = ab
colour = red
`))
	require.Error(t, err)
	for _, want := range []string{
		`[service] name: "a b" is not a name`,
		`[objective] skew-weight: -1 is less than 0 (line 4)`,
		`[objective] deadline: "soon" is not a duration (line 5)`,
		`[model "m"] version: is required (line 6)`,
		`[model "m"] role: "both" is not one of unified, prefill, decode (line 7)`,
		`[group "g"] model: unknown model "n" (line 9)`,
		`[group "g"] slots-per-rank: 2 ranks with 3 slots cannot hold 64 experts (line 13)`,
		`[plain-service "s"] path-prefix: "/v1/x" belongs to the system (line 15)`,
		`[call "c"] service: unknown plain service "t" (line 17)`,
		`[call "c"] method: "GRAB" is not one of`,
		`[call "c"] path: "s" is not a clean path from the root (line 19)`,
		`[call "d"] path: "/x/*y" has a segment that is * in part only (line 23)`,
		`[priority "p"] rank: 9 is not between 0 and 7 (line 25)`,
		`[workspace "w"] share: 0 is less than 0.001 (line 27)`,
		`[workspace "w"] priority: unknown priority "q" (line 28)`,
		`[workspace "w"] models: unknown model "o" (line 29)`,
		`[workspace "w"] token-sha256: is not a SHA-256`,
		`[workspace "w"] colour: unknown key (line 31)`,
	} {
		require.ErrorContains(t, err, "document: "+want)
	}
	require.Len(t, strings.Split(err.Error(), "\n"), 18)
}

func TestParseReportsConflictsWithinOneDocument(t *testing.T) {
	token := strings.Repeat("ab", 32)
	cases := map[string]string{
		"is the prefix of plain service \"a\" too":  "[plain-service \"a\"]\npath-prefix = /a\n[plain-service \"b\"]\npath-prefix = /a\n",
		"is a token of workspace \"a\" too":         "[workspace \"a\"]\ntoken-sha256 = " + token + "\n[workspace \"b\"]\ntoken-sha256 = " + token,
		"call \"a\" has the same method and path":   "[plain-service \"a\"]\npath-prefix = /a\n[call \"a\"]\nservice = a\nmethod = GET\npath = /a\n[call \"b\"]\nservice = a\nmethod = GET\npath = /a\n",
		"under the longer prefix":                   "[plain-service \"a\"]\npath-prefix = /a\n[plain-service \"b\"]\npath-prefix = /a/b\n[call \"a\"]\nservice = a\nmethod = GET\npath = /a/b/c\n",
		"does not lie under the prefix \"/a\"":      "[plain-service \"a\"]\npath-prefix = /a\n[call \"a\"]\nservice = a\nmethod = GET\npath = /b\n",
		"section stands twice":                      "[workspace \"a\"]\n[workspace \"a\"]\n",
		"a service of kind service has no models":   "[model \"m\"]\nversion = 1\n",
		"has ** before its last segment":            "[plain-service \"a\"]\npath-prefix = /a\n[call \"a\"]\nservice = a\nmethod = GET\npath = /a/**/b\n",
		"[workspace \"\"]: \"\" is not a name":      "[workspace \"\"]\n",
		"header is not of the form [model \"NAME\"": "[model m]\nversion = 1\n",
	}
	for want, text := range cases {
		_, err := Parse([]byte("[service]\nname = x\nkind = service\n" + text))
		require.ErrorContains(t, err, want)
	}
}

func TestCheckConflictsReportsEveryConflict(t *testing.T) {
	base := "[service]\nname = one\n[model \"m\"]\nversion = 1\n[plain-service \"s\"]\npath-prefix = /s\n" +
		"[workspace \"w\"]\ntoken-sha256 = " + strings.Repeat("ab", 32) + "\n"
	one := mustParse(t, base)
	require.NoError(t, CheckConflicts([]*Document{one}))
	two := mustParse(t, strings.NewReplacer("one", "two", "/s", "/s/t").Replace(base))
	err := CheckConflicts([]*Document{one, two})
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	for _, want := range []string{
		"two: workspace w belongs to document one", "two: model m belongs", "two: plain-service s belongs",
		"two: path-prefix /s/t belongs", "two: token abab", "two: pool m belongs",
	} {
		require.ErrorContains(t, err, want)
	}
}

func TestParseRefusesTooLongOrNonUTF8Text(t *testing.T) {
	_, err := Parse([]byte(strings.Repeat("#", MaxSize+1)))
	require.ErrorContains(t, err, "exceeds the limit")
	_, err = Parse([]byte("[service]\nname = a\n# \xff\n"))
	require.ErrorContains(t, err, "not UTF-8")
}

func FuzzParse(f *testing.F) {
	f.Add(readExample(f, "entries"))
	f.Add([]byte("[call \"a\"]\npath = /**\n[group \"\"]\n[\n]=\n"))
	f.Add([]byte("\"\"\"a\"\"\" = \"\"\"b\n\"\"\"\n`x` = `y`\n- = 1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse(text)
		if err != nil {
			return
		}
		require.Equal(t, DigestOf(text), d.Digest)
		require.NoError(t, CheckConflicts([]*Document{d}))
		d.CallFor("POST", string(text))
	})
}
