package entry

import (
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

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Header names of the callers' interface.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	PriorityHeader       = "Priority"
	ReplayedHeader       = "Idempotency-Replayed"
	// resumeHeader is between agent and engine only.
	resumeHeader      = "Resume-Offset"
	completionsPath   = "/v1/completions"
	chatPath          = "/v1/chat/completions"
	maxRequestIDBytes = 64
	maxKeyBytes       = 255
	defaultUrgency    = 3
	leastUrgent       = 7
	bodyTimeout       = 30 * time.Second
)

// request is a caller's request as it was read.
type request struct {
	id     string
	method string
	// path is decoded and has no dot segments; the upstream gets it in one encoding,
	// so that it can't read another path than the plan was found for.
	path    string
	query   string
	token   [32]byte
	key     string
	urgency uint8
	// urgencySet tells that the caller named an urgency.
	urgencySet bool
	header     []wire.Field
	body       []byte
	completion completion
}

// completion is what of a completion call matters for routing.
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

// text is the prompt as the prefixes are taken of it.
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

// requestID takes the caller's id if it is well-formed and makes one if not.
func requestID(r *http.Request) string {
	if id := r.Header.Get(RequestIDHeader); isWellFormed(id, maxRequestIDBytes) {
		return id
	}
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// isWellFormed accepts 1 to limit visible ASCII characters without quotes or separators.
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

// readHeader reads what a request says outside of its body.
func readHeader(r *http.Request) (*request, error) {
	q := &request{
		id:     requestID(r),
		method: r.Method,
		path:   r.URL.Path,
		query:  r.URL.RawQuery,
		header: forwardedFields(r.Header),
	}
	if !isCanonical(q.method, q.path) {
		return q, notRun(verdict.CodeBadRequest, "method or path is not in plain form")
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return q, notRun(verdict.CodeUnauthorized, "bearer token is missing")
	}
	q.token = sha256.Sum256([]byte(token))
	q.key = strings.Trim(r.Header.Get(IdempotencyKeyHeader), `"`)
	if q.key != "" && !isWellFormed(q.key, maxKeyBytes) {
		return q, notRun(verdict.CodeBadRequest, "idempotency key is malformed")
	}
	q.urgency, q.urgencySet = parseUrgency(r.Header.Get(PriorityHeader))
	return q, nil
}

// isCanonical accepts methods in upper case, and paths that no upstream can take for
// another one.
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

// parseUrgency reads the urgency of RFC 9218; what it can't read is not set.
func parseUrgency(s string) (uint8, bool) {
	for part := range strings.SplitSeq(s, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "u=")
		if ok && len(value) == 1 && value[0] >= '0' && value[0] <= '0'+leastUrgent {
			return value[0] - '0', true
		}
	}
	return defaultUrgency, false
}

// readBody reads the body, up to limit bytes, and the completion call in it.
func (q *request) readBody(w http.ResponseWriter, r *http.Request, limit int64) error {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRun(verdict.CodeTooLarge, "body is too large")
	}
	if err != nil {
		return notRun(verdict.CodeBadRequest, "body can't be read")
	}
	q.body = body
	if !q.isCompletion() {
		return nil
	}
	if err := json.Unmarshal(body, &q.completion); err != nil {
		return notRun(verdict.CodeBadRequest, "body is not a completion call: "+err.Error())
	}
	if q.completion.Model == "" {
		return notRun(verdict.CodeBadRequest, "model is missing")
	}
	return nil
}

func (q *request) isCompletion() bool {
	return q.method == http.MethodPost && (q.path == completionsPath || q.path == chatPath)
}

// target is the path with the query.
func (q *request) target() string {
	u := url.URL{Path: q.path, RawQuery: q.query}
	return u.RequestURI()
}

// digest identifies what the caller asked for, for claims.
func (q *request) digest() [32]byte {
	h := sha256.New()
	for _, part := range []string{q.method, q.target()} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(q.body)
	return [32]byte(h.Sum(nil))
}

// droppedFields are header fields that belong to one connection, or to this host.
var droppedFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "Content-Length": true, "Host": true, "Expect": true,
	RequestIDHeader: true, verdict.Header: true, ReplayedHeader: true, resumeHeader: true,
}

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

func addFields(h http.Header, fields []wire.Field) {
	for _, f := range fields {
		if !droppedFields[http.CanonicalHeaderKey(f.Name)] {
			h.Add(f.Name, f.Value)
		}
	}
}
