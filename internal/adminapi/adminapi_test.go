package adminapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/internal/auth"
	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/settings"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// fakeBackend implements Commands and Queries. It returns the values of its fields and records
// submissions, releases and the last history request.
type fakeBackend struct {
	submitted []SubmitRequest
	result    SubmitResult
	err       error
	docs      map[string]Document
	history   HistoryRequest
	changes   []Change

	quarantine []quarantine.Entry
	released   []ReleaseRequest
	evacuated  []string
	orders     []EvacuationRequest
}

func (f *fakeBackend) Submit(_ context.Context, req SubmitRequest) (SubmitResult, error) {
	f.submitted = append(f.submitted, req)
	return f.result, f.err
}

func (f *fakeBackend) Init(_ context.Context, req InitRequest) (Cluster, error) {
	return Cluster{ID: "c1 by " + req.Author, Replicas: []Replica{{ID: "a/1", Host: "a", Voter: true}}}, f.err
}

func (f *fakeBackend) Release(_ context.Context, req ReleaseRequest) (bool, error) {
	f.released = append(f.released, req)
	return true, f.err
}

func (f *fakeBackend) SetEvacuation(_ context.Context, req EvacuationRequest) ([]string, error) {
	f.orders = append(f.orders, req)
	return f.evacuated, f.err
}

func (f *fakeBackend) Evacuated(context.Context) ([]string, error) { return f.evacuated, f.err }

func (f *fakeBackend) Quarantine(context.Context) ([]quarantine.Entry, error) {
	return f.quarantine, f.err
}

func (f *fakeBackend) Document(_ context.Context, name string) (Document, error) {
	if doc, ok := f.docs[name]; ok {
		return doc, nil
	}
	return Document{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no document "+name)
}

func (f *fakeBackend) Documents(context.Context) ([]DocumentSummary, error) {
	var list []DocumentSummary
	for name, doc := range f.docs {
		list = append(list, DocumentSummary{Name: name, Revision: doc.Revision, Author: doc.Author})
	}
	return list, f.err
}

func (f *fakeBackend) Status(_ context.Context, name string) (Status, error) {
	return Status{Name: name, Revision: 4, InForce: 7, Behind: []HostRevision{{Host: "e2", Revision: 3}}}, f.err
}

func (f *fakeBackend) History(_ context.Context, req HistoryRequest) (HistoryPage, error) {
	f.history = req
	return HistoryPage{Changes: f.changes, Next: "p2"}, f.err
}

func (f *fakeBackend) Cluster(context.Context) (Cluster, error) { return Cluster{}, f.err }

func readExample(t *testing.T, name string) string {
	text, err := os.ReadFile("../../examples/" + name + ".ini")
	require.NoError(t, err)
	return string(text)
}

var operators = auth.NewTable([]settings.Operator{
	{Name: "platform", TokenHash: auth.HashToken("admin"), Admin: true},
	{Name: "team", TokenHash: auth.HashToken("team"), Documents: []string{"entries"}},
})

func serve(t *testing.T, f *fakeBackend, change func(*Config)) string {
	c := Config{Commands: f, Queries: f, Operators: operators}
	if change != nil {
		change(&c)
	}
	h, err := New(c)
	require.NoError(t, err)
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

type response struct {
	status  int
	header  http.Header
	problem oas.Problem
	body    string
}

func put(t *testing.T, url, token, ifMatch, contentType, body string) response {
	req, err := http.NewRequest(http.MethodPut, url+"/v1/documents/entries", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("If-Match", ifMatch)
	req.Header.Set("Change-Id", "change-01")
	req.Header.Set("Content-Type", contentType)
	return do(t, req)
}

func get(t *testing.T, url, token string) response {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	return do(t, req)
}

func do(t *testing.T, req *http.Request) response {
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	a := response{status: resp.StatusCode, header: resp.Header, body: string(text)}
	if resp.StatusCode >= 400 {
		require.Equal(t, "application/problem+json", resp.Header.Get("Content-Type"), a.body)
		require.NoError(t, a.problem.UnmarshalJSON(text), a.body)
		require.Equal(t, resp.StatusCode, a.problem.Status)
	}
	return a
}

func TestSubmitPassesTextUnchanged(t *testing.T) {
	f := &fakeBackend{result: SubmitResult{Revision: 4, Repeated: true}}
	url := serve(t, f, nil)
	text := readExample(t, "entries") + "\r\n# \u00e9 \t \n\n"
	a := put(t, url, "team", `"3"`, "text/plain; charset=utf-8", text)
	require.Equal(t, http.StatusOK, a.status, a.body)
	require.Equal(t, `"4"`, a.header.Get("ETag"))
	require.JSONEq(t, `{"name":"entries","revision":4,"repeated":true}`, a.body)

	asJSON, err := (&oas.Text{Text: text}).MarshalJSON()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, put(t, url, "team", "3", "application/json", string(asJSON)).status)
	want := SubmitRequest{Name: "entries", BaseRevision: 3, ChangeID: "change-01", Author: "team", Text: []byte(text)}
	require.Equal(t, []SubmitRequest{want, want}, f.submitted)
}

func TestRefusedSubmissionsAreNotRun(t *testing.T) {
	valid := readExample(t, "entries")
	cases := map[string]struct {
		token, ifMatch, contentType, body string
		status                            int
		code                              verdict.Code
	}{
		"no token":     {"", "1", "text/plain", valid, 401, verdict.CodeUnauthorized},
		"other token":  {"guess", "1", "text/plain", valid, 401, verdict.CodeUnauthorized},
		"not its own":  {"admin", "1", "text/plain", valid, 403, verdict.CodeForbidden},
		"no revision":  {"team", "", "text/plain", valid, 400, verdict.CodeBadRequest},
		"any revision": {"team", "*", "text/plain", valid, 400, verdict.CodeBadRequest},
		"other form":   {"team", "1", "text/html", valid, 400, verdict.CodeBadRequest},
		"not JSON":     {"team", "1", "application/json", "{", 400, verdict.CodeBadRequest},
		"other name":   {"team", "1", "text/plain", readExample(t, "outlooks"), 422, CodeInvalidDocument},
		"long text":    {"team", "1", "text/plain", strings.Repeat("#", document.MaxSize+1), 413, verdict.CodeTooLarge},
		"long body":    {"team", "1", "text/plain", strings.Repeat("#", MaxBodyBytes+1), 413, verdict.CodeTooLarge},
		"long JSON":    {"team", "1", "application/json", strings.Repeat(" ", MaxBodyBytes+1), 413, verdict.CodeTooLarge},
	}
	f := &fakeBackend{}
	registry := metrics.NewRegistry()
	url := serve(t, f, func(c *Config) { c.Metrics = registry })
	for name, c := range cases {
		a := put(t, url, c.token, c.ifMatch, c.contentType, c.body)
		require.Equal(t, c.status, a.status, "%s: %s", name, a.body)
		require.Equal(t, string(c.code), a.problem.Code, name)
		require.Equal(t, oas.ProblemVerdictNotRun, a.problem.Verdict, name)
	}
	require.Empty(t, f.submitted)
	require.EqualValues(t, 3, metrics.GetOrRegisterCounter("adminapi.problem.too-large", registry).Count())
}

func TestProblemListsEveryDocumentFault(t *testing.T) {
	a := put(t, serve(t, &fakeBackend{}, nil), "team", "1", "text/plain", "[service]\nkind = odd\n[objective]\nskew-weight = x\n")
	require.Equal(t, http.StatusUnprocessableEntity, a.status)
	require.Len(t, a.problem.Errors, 3)
	require.Equal(t, oas.Fault{
		Section: oas.NewOptString("objective"), Key: oas.NewOptString("skew-weight"),
		Line: oas.NewOptInt(4), Text: `"x" is not a number`,
	}, a.problem.Errors[2])
}

func TestConflictReportsTheAcceptedChange(t *testing.T) {
	f := &fakeBackend{result: SubmitResult{Conflict: &Conflict{Revision: 5, Author: "other", ChangeID: "change-02"}}}
	a := put(t, serve(t, f, nil), "team", "4", "text/plain", readExample(t, "entries"))
	require.Equal(t, http.StatusConflict, a.status)
	require.Equal(t, oas.NewOptConflict(oas.Conflict{Revision: 5, Author: "other", ChangeID: "change-02"}), a.problem.Conflict)
}

func TestCommandErrorsKeepTheirVerdict(t *testing.T) {
	cases := []struct {
		err     error
		status  int
		verdict oas.ProblemVerdict
		after   string
	}{
		{verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "no leader").WithRetryAfter(1500 * time.Millisecond), 503, oas.ProblemVerdictNotRun, "2"},
		{errors.Wrap(verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "no answer"), "submit"), 504, oas.ProblemVerdictMayHaveRun, ""},
		{errors.New("broken"), 500, oas.ProblemVerdictMayHaveRun, ""},
		{context.DeadlineExceeded, 500, oas.ProblemVerdictMayHaveRun, ""},
		{verdict.New(verdict.NotRun, verdict.CodeKeyReused, "other text"), 422, oas.ProblemVerdictNotRun, ""},
		{&document.ConflictError{Conflicts: []document.Conflict{{Kind: "workspace"}}}, 422, oas.ProblemVerdictNotRun, ""},
	}
	for _, c := range cases {
		a := put(t, serve(t, &fakeBackend{err: c.err}, nil), "team", "4", "text/plain", readExample(t, "entries"))
		require.Equal(t, c.status, a.status, c.err)
		require.Equal(t, c.verdict, a.problem.Verdict, c.err)
		require.Equal(t, c.after, a.header.Get("Retry-After"), c.err)
	}
}

func TestOperatorsReadOnlyTheirDocuments(t *testing.T) {
	f := &fakeBackend{
		docs: map[string]Document{
			"entries":  {Name: "entries", Revision: 2, Text: []byte(readExample(t, "entries"))},
			"outlooks": {Name: "outlooks", Revision: 3, Text: []byte(readExample(t, "outlooks"))},
		},
		changes: []Change{{Index: 9, Action: "init"}, {Index: 8, Document: "outlooks"}, {Index: 7, Document: "entries", Outcome: "conflict", Author: "ann"}},
	}
	url := serve(t, f, nil)
	var doc oas.Document
	a := get(t, url+"/v1/documents/entries", "team")
	require.NoError(t, doc.UnmarshalJSON([]byte(a.body)))
	require.Equal(t, readExample(t, "entries"), doc.Text)
	require.Equal(t, `"2"`, a.header.Get("ETag"))

	for path, status := range map[string]int{
		"/v1/documents/outlooks": 403, "/v1/documents/outlooks/status": 403, "/v1/history?document=outlooks": 403,
		"/v1/documents/entries/status": 200, "/v1/history?document=entries": 200, "/v1/cluster": 200, "/v1/nothing": 404,
	} {
		require.Equal(t, status, get(t, url+path, "team").status, path)
		require.GreaterOrEqual(t, get(t, url+path, "").status, 401, path)
	}
	require.JSONEq(t, `{"documents":[{"name":"entries","revision":2,"author":""}]}`, get(t, url+"/v1/documents", "team").body)
	require.Contains(t, get(t, url+"/v1/documents", "admin").body, "outlooks")

	body := get(t, url+"/v1/history?page=p1", "team").body
	require.NotContains(t, body, "outlooks")
	require.NotContains(t, body, "init")
	require.Contains(t, body, `"author":"ann","outcome":"conflict"`)
	require.Equal(t, HistoryRequest{Page: "p1", Documents: []string{"entries"}}, f.history)
	require.Contains(t, get(t, url+"/v1/history", "admin").body, "init")
	require.True(t, f.history.All)
}

func TestCheckReportsConflictsWithOtherDocuments(t *testing.T) {
	f := &fakeBackend{docs: map[string]Document{
		"entries":  {Name: "entries", Text: []byte(readExample(t, "entries"))},
		"outlooks": {Name: "outlooks", Text: []byte(readExample(t, "outlooks"))},
	}}
	url := serve(t, f, nil)
	check := func(text string) response {
		req, err := http.NewRequest(http.MethodPost, url+"/v1/check", strings.NewReader(text))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer team")
		req.Header.Set("Content-Type", "text/plain")
		return do(t, req)
	}
	require.Equal(t, 200, check(readExample(t, "entries")).status)
	a := check(strings.ReplaceAll(readExample(t, "entries"), "/slots", "/cards/own"))
	require.Equal(t, 422, a.status)
	require.Contains(t, a.problem.Errors[0].Text, "path-prefix /cards/own belongs to document outlooks")
}

func TestOnlyAdminsInitializeTheCluster(t *testing.T) {
	url := serve(t, &fakeBackend{}, nil)
	for token, status := range map[string]int{"team": 403, "admin": 200, "": 401} {
		req, err := http.NewRequest(http.MethodPost, url+"/v1/init", nil)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+token)
		require.Equal(t, status, do(t, req).status, token)
	}
}

// blockingQueries blocks the first call of Cluster until release is closed.
type blockingQueries struct {
	fakeBackend
	calls   atomic.Int32
	entered chan struct{}
	release chan struct{}
}

func (s *blockingQueries) Cluster(context.Context) (Cluster, error) {
	if s.calls.Add(1) == 1 {
		close(s.entered)
		<-s.release
	}
	return Cluster{}, nil
}

func TestConcurrentRequestsAreLimited(t *testing.T) {
	s := &blockingQueries{entered: make(chan struct{}), release: make(chan struct{})}
	url := serve(t, &s.fakeBackend, func(c *Config) { c.Queries = s; c.MaxConcurrent = 1 })
	release := sync.OnceFunc(func() { close(s.release) })
	t.Cleanup(release)
	first := make(chan response, 1)
	go func() { first <- get(t, url+"/v1/cluster", "team") }()
	<-s.entered
	a := get(t, url+"/v1/cluster", "team")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Equal(t, "1", a.header.Get("Retry-After"))
	require.Equal(t, oas.ProblemVerdictNotRun, a.problem.Verdict)
	release()
	require.Equal(t, http.StatusOK, (<-first).status)
}

// blockingCommands blocks the first call of Submit until release is closed.
type blockingCommands struct {
	fakeBackend
	calls   atomic.Int32
	entered chan struct{}
	release chan struct{}
}

func (h *blockingCommands) Submit(context.Context, SubmitRequest) (SubmitResult, error) {
	if h.calls.Add(1) == 1 {
		close(h.entered)
		<-h.release
	}
	return SubmitResult{Revision: 1}, nil
}

func TestConcurrentRequestBodiesAreLimited(t *testing.T) {
	h := &blockingCommands{entered: make(chan struct{}), release: make(chan struct{})}
	url := serve(t, &h.fakeBackend, func(c *Config) {
		c.Commands = h
		c.MaxBodies = 1
		c.Timeout = time.Second
	})
	release := sync.OnceFunc(func() { close(h.release) })
	t.Cleanup(release)
	first := make(chan response, 1)
	go func() { first <- put(t, url, "team", "0", "text/plain", readExample(t, "entries")) }()
	<-h.entered
	a := put(t, url, "team", "0", "text/plain", readExample(t, "entries"))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Equal(t, oas.ProblemVerdictNotRun, a.problem.Verdict)
	require.EqualValues(t, 1, h.calls.Load())
	require.Equal(t, http.StatusOK, get(t, url+"/v1/cluster", "team").status)
	release()
	require.Equal(t, http.StatusOK, (<-first).status)
}
