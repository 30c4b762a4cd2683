package cli

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/adminapi"
	"github.com/sassafraspost/sassafraspost/internal/auth"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/settings"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	entries  = "../../examples/entries.ini"
	outlooks = "../../examples/outlooks.ini"
)

// cluster is what the servers of a test share: it makes each change id once.
type cluster struct {
	mu       sync.Mutex
	changes  map[string]uint64
	revision uint64
	inits    int
	err      error
	conflict *adminapi.Conflict
}

func (c *cluster) Submit(_ context.Context, req adminapi.SubmitRequest) (adminapi.SubmitResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.conflict != nil {
		return adminapi.SubmitResult{Conflict: c.conflict}, c.err
	}
	if revision, ok := c.changes[req.ChangeID]; ok {
		return adminapi.SubmitResult{Revision: revision, Repeated: true}, nil
	}
	c.revision++
	c.changes[req.ChangeID] = c.revision
	return adminapi.SubmitResult{Revision: c.revision}, nil
}

func (c *cluster) Init(context.Context, adminapi.InitRequest) (adminapi.Cluster, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inits++
	return adminapi.Cluster{ID: "c1"}, c.err
}

// accepted returns the number of changes made.
func (c *cluster) accepted() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// started returns the number of times that Init ran.
func (c *cluster) started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inits
}

// held is the request that the servers of a test hold.
var held = quarantine.Fingerprint{0xab}

func (c *cluster) Quarantine(context.Context) ([]quarantine.Entry, error) {
	return []quarantine.Entry{{
		Fingerprint: held, Workspace: "clubs", Verdict: quarantine.Quarantined, Remaining: time.Minute,
		Crashes: []quarantine.EntryCrash{{Incarnation: quarantine.Incarnation{Upstream: "engine-1"}, Request: "r7", Age: 2 * time.Second}},
	}}, nil
}

func (c *cluster) Release(_ context.Context, req adminapi.ReleaseRequest) (bool, error) {
	return req.Fingerprint == held && req.Author == "team", nil
}

func (c *cluster) Document(_ context.Context, name string) (adminapi.Document, error) {
	if name != "entries" {
		return adminapi.Document{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no document "+name)
	}
	text, err := os.ReadFile(entries)
	return adminapi.Document{Name: name, Revision: 3, Author: "team", ChangeID: "change-03", Text: text}, err
}

func (c *cluster) Documents(context.Context) ([]adminapi.DocumentSummary, error) {
	return []adminapi.DocumentSummary{{Name: "entries", Revision: 3, Author: "team"}}, nil
}

func (c *cluster) Status(_ context.Context, name string) (adminapi.Status, error) {
	return adminapi.Status{
		Name: name, Revision: 3, InForce: 7, NotHeard: []string{"entry-b2"},
		Behind:      []adminapi.HostRevision{{Host: "entry-a1", Revision: 2}},
		DataCentres: []adminapi.DataCentreStatus{{Name: "a", InForce: 7, Behind: 1}, {Name: "b", NotHeard: 1}},
	}, nil
}

func (c *cluster) History(context.Context, adminapi.HistoryRequest) (adminapi.HistoryPage, error) {
	return adminapi.HistoryPage{Next: "p2", Changes: []adminapi.Change{{
		Index: 12, Time: time.Unix(0, 0), Action: "submit", Author: "team",
		Outcome: "accepted", Document: "entries", Revision: 3, ChangeID: "change-03",
	}, {
		Index: 11, Time: time.Unix(5, 0), Action: "membership", Outcome: "applied", Detail: "voters [a/1]",
	}}}, nil
}

func (c *cluster) Cluster(context.Context) (adminapi.Cluster, error) {
	return adminapi.Cluster{ID: "c1", Leader: "a/1", Replicas: []adminapi.Replica{
		{ID: "a/1", Host: "a", Voter: true}, {ID: "b/2", Host: "b"},
	}}, nil
}

func (c *cluster) handler(t *testing.T) http.Handler {
	h, err := adminapi.New(adminapi.Config{Commands: c, Queries: c, Operators: auth.NewTable([]settings.Operator{
		{Name: "team", TokenHash: auth.HashToken("team-token"), AllDocuments: true, Admin: true},
		{Name: "guest", TokenHash: auth.HashToken("guest-token")},
	})})
	require.NoError(t, err)
	return h
}

func start(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// losing runs each request and cuts the connection in place of an answer.
func losing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// resetting runs each request and resets the connection in place of an answer.
func resetting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(httptest.NewRecorder(), r)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		// Without lingering a close resets the connection.
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
}

// denying knows no token.
func denying(t *testing.T) http.Handler {
	h, err := adminapi.New(adminapi.Config{Operators: auth.NewTable(nil)})
	require.NoError(t, err)
	return h
}

// closed returns an address at which nothing listens.
func closed(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

type outputs struct {
	code           ExitCode
	stdout, stderr string
}

func run(args ...string) outputs {
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), args, &stdout, &stderr)
	return outputs{code, stdout.String(), stderr.String()}
}

func tokenFile(t *testing.T, token string) string {
	path := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(path, []byte(token+"\n"), 0o600))
	return path
}

func newFake() *cluster { return &cluster{changes: map[string]uint64{}} }

func TestCommands(t *testing.T) {
	server := start(t, newFake().handler(t))
	text, err := os.ReadFile(entries)
	require.NoError(t, err)
	faulty := filepath.Join(t.TempDir(), "faulty.ini")
	require.NoError(t, os.WriteFile(faulty, []byte("[service]\nkind = odd\n"), 0o600))
	cases := []struct {
		args           string
		code           ExitCode
		stdout, stderr string
	}{
		{"submit " + entries, ExitOK, "entries: revision 1 accepted\n", ""},
		{"submit " + outlooks + " --change-id change-01", ExitOK, "outlooks: revision 2 accepted\n", ""},
		{"submit " + outlooks + " --change-id change-01 -o json", ExitOK, `{"name":"outlooks","revision":2,"repeated":true}` + "\n", ""},
		{"submit " + faulty, ExitInvalid, "", "document: [service] kind: \"odd\" is not one of"},
		{"submit " + entries + " --change-id x", ExitUsage, "", "--change-id"},
		{"submit no-such-file", ExitUsage, "", "no-such-file"},
		{"get entries", ExitOK, string(text), "revision 3 of team, change change-03"},
		{"get other", ExitNotFound, "", "not-found"},
		{"get entries -o yaml", ExitUsage, "", "neither text nor json"},
		{"list", ExitOK, "NAME     REVISION  AUTHOR\nentries  3         team\n", ""},
		{"status entries", ExitOK, "entries: revision 3 is in force on 7 hosts\ndata centre a: in force on 7, behind 1, not heard 0\ndata centre b: in force on 0, behind 0, not heard 1\nbehind: entry-a1 at revision 2\nnot heard: entry-b2\n", ""},
		{"history", ExitOK, "INDEX  TIME                  ACTION      AUTHOR  OUTCOME   DOCUMENT   CHANGE     DETAIL\n" +
			"12     -                     submit      team    accepted  entries@3  change-03  -\n" +
			"11     1970-01-01T00:00:05Z  membership  -       applied   -          -          voters [a/1]\n", "--page p2"},
		{"check " + entries, ExitOK, "entries: valid, digest ", ""},
		{"check " + outlooks, ExitOK, "outlooks: valid, digest ", ""},
		{"init", ExitOK, "cluster c1 WITHOUT QUORUM, term 0, commit 0\n", ""},
		{"cluster", ExitOK, "a/1      a     leader\nb/2      b     learner\n", ""},
		{"quarantine list", ExitOK, "FINGERPRINT                       VERDICT  WORKSPACE  FOR S  UPSTREAMS THAT ENDED\n" +
			"ab000000000000000000000000000000  held     clubs      60     engine-1 2s ago as r7\n", ""},
		{"quarantine release " + held.String(), ExitOK, held.String() + " is released\n", ""},
		{"quarantine release 00" + held.String()[2:], ExitOK, "nothing was held against 00", ""},
		{"quarantine release ab", ExitUsage, "", "not a fingerprint"},
		{"version", ExitOK, ".", ""},
		{"nonsense", ExitUsage, "", "unknown command"},
	}
	team := tokenFile(t, "team-token")
	for _, c := range cases {
		got := run(append(strings.Fields(c.args), "--server", server, "--token-file", team)...)
		require.Equal(t, c.code, got.code, "%s: %s", c.args, got.stderr)
		require.Contains(t, got.stdout, c.stdout, c.args)
		require.Contains(t, got.stderr, c.stderr, c.args)
	}
	guest := tokenFile(t, "guest-token")
	for _, command := range []string{
		"submit " + entries, "get entries", "status entries", "init", "quarantine list", "quarantine release " + held.String(),
	} {
		got := run(append(strings.Fields(command), "--server", server, "--token-file", guest)...)
		require.Equal(t, ExitUnauthorized, got.code, command)
		require.Contains(t, got.stderr, "forbidden", command)
	}
	require.Equal(t, ExitUsage, run("get", "entries", "--server", server).code)
	require.Equal(t, ExitUsage, run("get", "entries", "--token-file", guest).code)
}

func TestCheckNeedsNoServer(t *testing.T) {
	require.Equal(t, ExitOK, run("check", entries, outlooks).code)
	got := run("check", entries, entries)
	require.Equal(t, ExitInvalid, got.code)
	require.Contains(t, got.stderr, "service entries belongs to document entries")
}

func TestConflictNamesTheWinner(t *testing.T) {
	c := newFake()
	c.conflict = &adminapi.Conflict{Revision: 9, Author: "other", ChangeID: "change-09"}
	got := run("submit", entries, "--server", start(t, c.handler(t)), "--token-file", tokenFile(t, "team-token"))
	require.Equal(t, ExitConflict, got.code)
	require.Contains(t, got.stderr, "revision 9 is of other, change change-09")
}

// A lost answer must neither make a change twice nor be taken for "not run".
func TestLostAnswers(t *testing.T) {
	lost := func(t *testing.T, c *cluster) string { return start(t, losing(c.handler(t))) }
	good := func(t *testing.T, c *cluster) string { return start(t, c.handler(t)) }
	deny := func(t *testing.T, _ *cluster) string { return start(t, denying(t)) }
	reset := func(t *testing.T, c *cluster) string { return start(t, resetting(c.handler(t))) }
	gone := func(t *testing.T, _ *cluster) string { return closed(t) }
	cut := func(t *testing.T, c *cluster) string {
		behind := newFake()
		behind.err = verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "no leader").WithRetryAfter(2 * time.Second)
		return start(t, behind.handler(t))
	}
	type server = func(*testing.T, *cluster) string
	cases := map[string]struct {
		servers  []server
		code     ExitCode
		revision uint64
		stderr   string
	}{
		"next server after a dead one":    {[]server{gone, good}, ExitOK, 1, ""},
		"next server after a cut-off one": {[]server{cut, good}, ExitOK, 1, ""},
		"resent with its change id":       {[]server{lost, good}, ExitOK, 1, ""},
		"all dead":                        {[]server{gone, gone}, ExitNotRun, 0, "--change-id"},
		"all cut off":                     {[]server{cut, gone, cut}, ExitNotRun, 0, "try again in 2 s"},
		"lost":                            {[]server{lost}, ExitUnknown, 1, "--change-id"},
		"reset":                           {[]server{reset}, ExitUnknown, 1, "--change-id"},
		"reset, then resent":              {[]server{reset, good}, ExitOK, 1, ""},
		"lost, then cut off":              {[]server{lost, cut}, ExitUnknown, 1, "--change-id"},
		"lost, then denied":               {[]server{lost, deny}, ExitUnknown, 1, "--change-id"},
		"denied":                          {[]server{deny, good}, ExitUnauthorized, 0, "unauthorized"},
	}
	team := tokenFile(t, "team-token")
	for name, tc := range cases {
		c := newFake()
		var addrs []string
		for _, s := range tc.servers {
			addrs = append(addrs, s(t, c))
		}
		got := run("submit", entries, "--server", strings.Join(addrs, ","), "--token-file", team)
		require.Equal(t, tc.code, got.code, "%s: %s", name, got.stderr)
		require.Equal(t, tc.revision, c.accepted(), name)
		require.Contains(t, got.stderr, tc.stderr, name)
	}
}

func TestInitIsNotSentAgain(t *testing.T) {
	c := newFake()
	servers := start(t, losing(c.handler(t))) + "," + start(t, c.handler(t))
	got := run("init", "--server", servers, "--token-file", tokenFile(t, "team-token"))
	require.Equal(t, ExitUnknown, got.code, got.stderr)
	require.Equal(t, 1, c.started())

	servers = closed(t) + "," + start(t, c.handler(t))
	require.Equal(t, ExitOK, run("init", "--server", servers, "--token-file", tokenFile(t, "team-token")).code)
}

func TestHelpListsEveryExitCode(t *testing.T) {
	help := run("--help").stdout
	for code := ExitOK; code <= ExitNotFound; code++ {
		require.Contains(t, help, exitTexts[code])
	}
}

// On a platform without the administration API the same is asked of a metrics listener.
func TestQuarantineOfAMetricsListener(t *testing.T) {
	k := quarantine.NewKeeper(quarantine.Config{
		Limits: quarantine.DefaultLimits, Now: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	told := func(upstream string, ageMS int64) quarantine.Suspicion {
		return quarantine.Suspicion{Fingerprint: held, Workspace: "clubs", Incarnation: quarantine.Incarnation{Upstream: upstream}, Request: "r7", AgeMS: ageMS}
	}
	k.Merge([]quarantine.Suspicion{told("a", 9000), told("b", 1000)})
	address := start(t, quarantine.Handler(k))
	got := run("quarantine", "list", "--metrics", address)
	require.Equal(t, ExitOK, got.code, got.stderr)
	require.Contains(t, got.stdout, "held     clubs      599    a 9s ago as r7, b 1s ago as r7")
	got = run("quarantine", "list", "--metrics", address, "-o", "json")
	require.Contains(t, got.stdout, `"verdict":"held"`)
	got = run("quarantine", "release", held.String(), "--metrics", address)
	require.Equal(t, held.String()+" is released\n", got.stdout)
	require.Empty(t, k.List())
	require.NotEqual(t, ExitOK, run("quarantine", "list", "--metrics", closed(t)).code)
}
