package entry

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Header names, paths and limits of the API for callers.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	PriorityHeader       = "Priority"
	ReplayedHeader       = "Idempotency-Replayed"
	// resumeHeader is used between agent and engine only, so it is removed in both directions.
	resumeHeader      = "Resume-Offset"
	completionsPath   = "/v1/completions"
	chatPath          = "/v1/chat/completions"
	maxRequestIDBytes = 64
	maxKeyBytes       = 255
	// defaultUrgency and leastUrgent are the default and the largest urgency of RFC 9218.
	defaultUrgency = 3
	leastUrgent    = 7
	// bodyTimeout is how long reading a request body may take.
	bodyTimeout = 30 * time.Second
)

// request is a parsed request of a caller.
type request struct {
	id     string
	method string
	// path is decoded and has no dot segments. It is encoded anew for the upstream, so that the
	// upstream can't interpret it as a path other than the one that the plan was found for.
	path  string
	query string
	// token is the SHA-256 of the bearer token.
	token [32]byte
	// key is the idempotency key, empty if there is none.
	key     string
	urgency uint8
	// urgencySet is set if the caller specified an urgency.
	urgencySet bool
	header     []wire.Field
	body       []byte
	completion completion
}

// completion holds the fields of a completion call that matter for routing.
type completion struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens uint64    `json:"max_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// text returns the prompt in the form that is hashed for prefix-aware routing.
func (c *completion) text() []byte {
	if len(c.Messages) == 0 {
		return []byte(c.Prompt)
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return []byte(b.String())
}

// requestID returns the caller's request id, or a random one if it is missing or malformed.
func requestID(r *http.Request) string {
	if id := r.Header.Get(RequestIDHeader); isWellFormed(id, maxRequestIDBytes) {
		return id
	}
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// isWellFormed accepts 1 to limit visible ASCII characters except double quotes, commas, semicolons
// and backslashes.
func isWellFormed(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || c == '"' || c == ',' || c == ';' || c == '\\' {
			return false
		}
	}
	return true
}

// readHeader parses a request except for its body. The request is not nil even if there is an
// error.
func readHeader(r *http.Request) (*request, error) {
	req := &request{
		id:     requestID(r),
		method: r.Method,
		path:   r.URL.Path,
		query:  r.URL.RawQuery,
		header: forwardedFields(r.Header),
	}
	if !isCanonical(req.method, req.path) {
		return req, notRun(verdict.CodeBadRequest, "method or path is not in plain form")
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return req, notRun(verdict.CodeUnauthorized, "bearer token is missing")
	}
	req.token = sha256.Sum256([]byte(token))
	req.key = strings.Trim(r.Header.Get(IdempotencyKeyHeader), `"`)
	if req.key != "" && !isWellFormed(req.key, maxKeyBytes) {
		return req, notRun(verdict.CodeBadRequest, "idempotency key is malformed")
	}
	req.urgency, req.urgencySet = parseUrgency(r.Header.Get(PriorityHeader))
	return req, nil
}

// isCanonical accepts methods in upper case, and paths that an upstream can't normalize to a
// different path.
func isCanonical(method, path string) bool {
	if strings.ToUpper(method) != method || !strings.HasPrefix(path, "/") || strings.Contains(path, "\\") {
		return false
	}
	if strings.Contains(path, "//") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// parseUrgency parses the urgency in a Priority header of RFC 9218. If there is no valid one, it
// returns the default and false.
func parseUrgency(s string) (uint8, bool) {
	for parameter := range strings.SplitSeq(s, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(parameter), "u=")
		if ok && len(value) == 1 && value[0] >= '0' && value[0] <= '0'+leastUrgent {
			return value[0] - '0', true
		}
	}
	return defaultUrgency, false
}

// readBody reads the body, up to limit bytes, as long as the server does not leave.
func (req *request) readBody(w http.ResponseWriter, from io.ReadCloser, limit int64, drain *drainStages) error {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	stop := drain.limitReading(rc)
	body, err := io.ReadAll(http.MaxBytesReader(w, from, limit))
	if !stop() && err == nil {
		// The deadline may be set at any time now.
		err = errLeaving
	}
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
	} else {
		_ = rc.SetReadDeadline(time.Now().Add(inbound.UnreadBodyTimeout))
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRun(verdict.CodeTooLarge, "body is too large")
	}
	if err != nil {
		return notRun(verdict.CodeBadRequest, "body can't be read")
	}
	req.body = body
	return nil
}

// valueBytes is the memory that a value of a list in the body may need once it is parsed, with what growing the list
// leaves behind.
const valueBytes = 64

// parsedBytes returns at least the memory that the values of the body need beside its text, 0 if it is not parsed.
func (req *request) parsedBytes() int64 {
	if !req.isCompletion() {
		return 0
	}
	return valueBytes * int64(bytes.Count(req.body, []byte{','}))
}

// parseBody parses the body if the request is a completion call.
func (req *request) parseBody() error {
	if !req.isCompletion() {
		return nil
	}
	if err := json.Unmarshal(req.body, &req.completion); err != nil {
		return notRun(verdict.CodeBadRequest, "body is not a completion call: "+err.Error())
	}
	if req.completion.Model == "" {
		return notRun(verdict.CodeBadRequest, "model is missing")
	}
	return nil
}

// isCompletion reports whether the request is a call of the completion API.
func (req *request) isCompletion() bool {
	return req.method == http.MethodPost && (req.path == completionsPath || req.path == chatPath)
}

// target returns the encoded path with the query.
func (req *request) target() string {
	u := url.URL{Path: req.path, RawQuery: req.query}
	return u.RequestURI()
}

// digest returns the SHA-256 of method, target and body. A claim keeps it, to detect that a key is
// reused for a different request.
func (req *request) digest() [32]byte {
	h := sha256.New()
	for _, part := range []string{req.method, req.target()} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(req.body)
	return [32]byte(h.Sum(nil))
}

// droppedFields are the header fields that are not forwarded in either direction. They concern a
// single connection, are meant for the entry host, or are set by entry host and agent.
var droppedFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "Content-Length": true, "Host": true, "Expect": true,
	RequestIDHeader: true, verdict.Header: true, ReplayedHeader: true, resumeHeader: true,
}

// forwardedFields returns the header fields that are sent on to the upstream.
func forwardedFields(h http.Header) []wire.Field {
	var out []wire.Field
	for name, values := range h {
		if droppedFields[name] {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Field{Name: name, Value: v})
		}
	}
	return out
}

// addFields adds the fields of an upstream's response to h, except for droppedFields.
func addFields(h http.Header, fields []wire.Field) {
	for _, f := range fields {
		if !droppedFields[http.CanonicalHeaderKey(f.Name)] {
			h.Add(f.Name, f.Value)
		}
	}
}
