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

// pollInterval is the time between two checks of a condition in Await.
const pollInterval = 20 * time.Millisecond

// RunCLI runs the operators' command-line tool and returns its standard output. If the tool
// fails, its standard error is appended.
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

// Await polls until ok returns true or ctx ends.
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

// Response is the HTTP response that a caller received.
type Response struct {
	Status  int
	Header  http.Header
	Body    string
	Verdict verdict.Verdict
	// Err is set if the response broke off or never began.
	Err error
}

// Request is an HTTP request of a caller. Key is its idempotency key and ID its request id.
type Request struct {
	Method, Path, Key, ID, Body string
}

// Do sends a request to an entry host on a new connection. Err of the response is set if its
// body can't be read to the end.
func Do(ctx context.Context, entry string, request Request) Response {
	return DoWithClient(ctx, freshClient, entry, request)
}

// DoWithClient sends a request as Do does, with an HTTP client of the caller's choice.
func DoWithClient(ctx context.Context, httpClient *http.Client, entry string, request Request) Response {
	req, err := http.NewRequestWithContext(ctx, request.Method, "http://"+entry+request.Path, bytes.NewReader([]byte(request.Body)))
	if err != nil {
		return Response{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+CallerToken)
	req.Header.Set("Content-Type", "application/json")
	if request.Key != "" {
		req.Header.Set("Idempotency-Key", request.Key)
	}
	if request.ID != "" {
		req.Header.Set("X-Request-Id", request.ID)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return Response{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	response := Response{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
	if v, parseErr := verdict.Parse(resp.Header.Get(verdict.Header)); parseErr == nil {
		response.Verdict = v
	}
	return response
}

// freshClient opens a new connection for each request. A kept connection to a host that was
// killed would fail the next request, which would look like a fault of the system.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// CompletionRequest returns a completion request with max_tokens set to tokens.
func CompletionRequest(prompt string, tokens int, isStream bool) Request {
	body, _ := json.Marshal(map[string]any{
		"model": "drafter", "prompt": prompt, "max_tokens": tokens, "stream": isStream,
	})
	return Request{Method: http.MethodPost, Path: "/v1/completions", Body: string(body)}
}

// BookingRequest returns a booking request, a call that is not idempotent: it must not run twice.
func BookingRequest(key, rider string) Request {
	body, _ := json.Marshal(standin.Booking{Slot: "dawn", Rider: rider})
	return Request{Method: http.MethodPost, Path: "/slots/book", Key: key, Body: string(body)}
}

// Executions fetches a stand-in's counts of the requests and orders that it has executed.
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

// InjectFailure makes the next requests to a stand-in fail.
func InjectFailure(ctx context.Context, h *Host, failure standin.Failure) error {
	body, _ := json.Marshal(failure)
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

// IsReady reports whether an entry host's readiness check succeeds.
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

// keepAliveClient reuses connections, for metrics that are polled hundreds of times.
var keepAliveClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// RevisionInForce returns the document revision in force on a host, as its metrics report it,
// and false if the host did not answer.
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
	match := revisionLine.FindSubmatch(body)
	if match == nil {
		return 0, false
	}
	revision, err := strconv.ParseUint(string(match[1]), 10, 64)
	return revision, err == nil
}

// clusterStatus is the part of the tool's JSON output for `cluster` that is read here.
type clusterStatus struct {
	Leader    string `json:"leader"`
	HasQuorum bool   `json:"hasQuorum"`
	Replicas  []struct {
		Voter bool `json:"voter"`
	} `json:"replicas"`
}

// clusterStatus returns the status of the cluster, empty if no control host that the tool
// reaches has a quorum.
func (s *System) clusterStatus(ctx context.Context) clusterStatus {
	out, err := s.RunCLI(ctx, "cluster", "-o", "json")
	var c clusterStatus
	if err != nil || json.Unmarshal([]byte(out), &c) != nil || !c.HasQuorum {
		return clusterStatus{}
	}
	return c
}

// VoterCount returns the number of voters in the cluster, zero without a quorum.
func (s *System) VoterCount(ctx context.Context) int {
	n := 0
	for _, r := range s.clusterStatus(ctx).Replicas {
		if r.Voter {
			n++
		}
	}
	return n
}

// Leader returns the name of the control host that is the leader, empty without a quorum.
func (s *System) Leader(ctx context.Context) string {
	host, _, _ := strings.Cut(s.clusterStatus(ctx).Leader, "/")
	return host
}
