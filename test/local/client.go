package local

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// pollInterval is how often a condition is looked at.
const pollInterval = 20 * time.Millisecond

// RunCLI runs the operators' tool and returns what it printed as its result, and its
// messages too where it failed.
func (s *System) RunCLI(ctx context.Context, args ...string) (string, error) {
	token, err := s.WriteOperatorTokenFile()
	if err != nil {
		return "", err
	}
	all := append(args, "--server", s.APIServers(), "--token-file", token)
	if s.Layout.HasTLS {
		all = append(all, "--ca-file", s.certificateFile())
	}
	cmd := exec.CommandContext(ctx, filepath.Join(s.BinDir, "sassafraspost"), all...)
	var messages bytes.Buffer
	cmd.Stderr = &messages
	out, err := cmd.Output()
	if err != nil {
		return string(out) + messages.String(), err
	}
	return string(out), nil
}

// Await polls until ok or ctx ends.
func Await(ctx context.Context, ok func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Response is what a caller got.
type Response struct {
	Status  int
	Header  http.Header
	Body    string
	Verdict verdict.Verdict
	// Err is set where the answer broke off or never began.
	Err error
}

// Request is what a caller asks.
type Request struct {
	Method, Path, Key, ID, Body string
}

// Do sends a request to an entry host on a new connection. An answer that can't be read to
// its end has Err.
func Do(ctx context.Context, entry string, q Request) Response {
	return DoWithClient(ctx, freshClient, entry, q)
}

// DoWithClient is Do by the caller's own client.
func DoWithClient(ctx context.Context, by *http.Client, entry string, q Request) Response {
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+entry+q.Path, bytes.NewReader([]byte(q.Body)))
	if err != nil {
		return Response{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+CallerToken)
	req.Header.Set("Content-Type", "application/json")
	if q.Key != "" {
		req.Header.Set("Idempotency-Key", q.Key)
	}
	if q.ID != "" {
		req.Header.Set("X-Request-Id", q.ID)
	}
	resp, err := by.Do(req)
	if err != nil {
		return Response{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a := Response{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
	if v, perr := verdict.Parse(resp.Header.Get(verdict.Header)); perr == nil {
		a.Verdict = v
	}
	return a
}

// freshClient dials anew for each request: connections to hosts that were killed must
// not stand in for faults of the system.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Completion returns the request for a completion of tokens tokens.
func Completion(prompt string, tokens int, isStream bool) Request {
	body, _ := json.Marshal(map[string]any{
		"model": "drafter", "prompt": prompt, "max_tokens": tokens, "stream": isStream,
	})
	return Request{Method: http.MethodPost, Path: "/v1/completions", Body: string(body)}
}

// Booking returns the request for a booking, which may not repeat.
func Booking(key, rider string) Request {
	body, _ := json.Marshal(standin.Booking{Slot: "dawn", Rider: rider})
	return Request{Method: http.MethodPost, Path: "/slots/book", Key: key, Body: string(body)}
}

// Executions asks a stand-in what it has done.
func Executions(ctx context.Context, h *Host) (standin.Report, error) {
	var r standin.Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ListenAddress+"/executions", nil)
	if err != nil {
		return r, err
	}
	resp, err := freshClient.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	return r, errors.Wrap(json.NewDecoder(resp.Body).Decode(&r), "executions")
}

// InjectFailure makes the next requests of a stand-in fail.
func InjectFailure(ctx context.Context, h *Host, f standin.Failure) error {
	body, _ := json.Marshal(f)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.ListenAddress+"/admin/fail", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := freshClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// IsReady reports whether an entry host takes callers.
func IsReady(ctx context.Context, h *Host) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ListenAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := freshClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var revisionLine = regexp.MustCompile(`(?m)^sassafraspost_catalog_revision (\d+)$`)

// keepAliveClient keeps its connections: for requests by the hundred.
var keepAliveClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// RevisionInForce returns the revision in force on a host, and whether the host said so.
func RevisionInForce(ctx context.Context, h *Host) (uint64, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.MetricsAddress+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	resp, err := keepAliveClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, false
	}
	found := revisionLine.FindSubmatch(body)
	if found == nil {
		return 0, false
	}
	revision, err := strconv.ParseUint(string(found[1]), 10, 64)
	return revision, err == nil
}

// clusterStatus is what the tool prints of a cluster.
type clusterStatus struct {
	Leader    string `json:"leader"`
	HasQuorum bool   `json:"hasQuorum"`
	Replicas  []struct {
		Voter bool `json:"voter"`
	} `json:"replicas"`
}

// clusterStatus asks each control host in turn, until one that has a quorum answers.
func (s *System) clusterStatus(ctx context.Context) clusterStatus {
	out, err := s.RunCLI(ctx, "cluster", "-o", "json")
	var c clusterStatus
	if err != nil || json.Unmarshal([]byte(out), &c) != nil || !c.HasQuorum {
		return clusterStatus{}
	}
	return c
}

// VoterCount returns how many control hosts have a vote, zero without a quorum.
func (s *System) VoterCount(ctx context.Context) int {
	n := 0
	for _, r := range s.clusterStatus(ctx).Replicas {
		if r.Voter {
			n++
		}
	}
	return n
}

// Leader returns the name of the control host that leads, empty without a quorum.
func (s *System) Leader(ctx context.Context) string {
	host, _, _ := strings.Cut(s.clusterStatus(ctx).Leader, "/")
	return host
}
