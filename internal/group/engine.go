package group

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// engineTimeout limits a call to an engine. Engines answer every call soon, so a longer wait is
// a failure.
const engineTimeout = 2 * time.Second

const (
	// maxHeaderBytes limits the header of an engine's answer, and maxAnswerBytes its body.
	maxHeaderBytes = 64 << 10
	maxAnswerBytes = 4 << 20
)

// BallotRequest is the body of a commit or abort request to an engine.
type BallotRequest struct{ Ballot expertmap.Ballot }

// Engine controls the engine of one rank over HTTP, at the URL base, which ends in "/ranks/"
// and the rank. It implements Rank.
type Engine struct {
	base   string
	client *http.Client
}

// NewEngine returns the Engine of a rank. upstream is the base URL of the engine's upstream.
func NewEngine(upstream string, rank uint32) *Engine {
	return &Engine{
		base:   fmt.Sprintf("%s/ranks/%d", upstream, rank),
		client: &http.Client{Timeout: engineTimeout, Transport: newTransport()},
	}
}

// newTransport returns a transport that opens a new connection for each request. On a kept one, a late
// copy of a response would be taken for the response to the next order, since nothing in it names its
// order.
func newTransport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}
}

// Status implements expertmap.Engine.
func (e *Engine) Status(ctx context.Context) (expertmap.Status, error) {
	var s expertmap.Status
	return s, e.get(ctx, "/status", &s)
}

// Load returns what the rank has measured since the last call.
func (e *Engine) Load(ctx context.Context) (wire.RankLoad, error) {
	var l wire.RankLoad
	return l, e.get(ctx, "/expert-load", &l)
}

// Stage implements expertmap.Engine.
func (e *Engine) Stage(ctx context.Context, m expertmap.Map) error { return e.post(ctx, "/stage", m) }

// Arm implements expertmap.Engine.
func (e *Engine) Arm(ctx context.Context, c expertmap.Change) error { return e.post(ctx, "/arm", c) }

// Commit implements expertmap.Engine.
func (e *Engine) Commit(ctx context.Context, b expertmap.Ballot) error {
	return e.post(ctx, "/commit", BallotRequest{Ballot: b})
}

// Abort implements expertmap.Engine.
func (e *Engine) Abort(ctx context.Context, b expertmap.Ballot) error {
	return e.post(ctx, "/abort", BallotRequest{Ballot: b})
}

func (e *Engine) get(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+path, nil)
	if err != nil {
		return errors.Wrap(err, "group: query engine")
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "group: query engine")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("group: engine answered with status %s", resp.Status)
	}
	return errors.Wrap(json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxAnswerBytes)).Decode(out), "group: decode engine's answer")
}

func (e *Engine) post(ctx context.Context, path string, in any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "group: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "group: send order to engine")
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "group: send order to engine")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("group: engine answered the order with status %s", resp.Status)
	}
	return nil
}
