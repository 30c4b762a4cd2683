package integration

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// callerLoad is a set of concurrent callers that send requests until they are stopped.
type callerLoad struct {
	stop chan struct{}
	wg   sync.WaitGroup
	// complete and refused count the responses that were complete and those with the verdict
	// not-run; notReady counts the times that a caller found its entry host not ready.
	complete, refused, notReady atomic.Int64

	mu         sync.Mutex
	unexpected []string
}

// startLoad starts callers, spread over the entry hosts. Each sends streamed completions with the
// given number of tokens, one after another.
func (s *system) startLoad(callers, tokens int, entries ...*local.Host) *callerLoad {
	l := &callerLoad{stop: make(chan struct{})}
	for i := range callers {
		e := entries[i%len(entries)]
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.run(s, e, i, tokens)
		}()
	}
	return l
}

func (l *callerLoad) run(s *system, e *local.Host, caller, tokens int) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if !local.IsReady(s.ctx, e) {
			// In production the load balancer of the platform sends no request to an entry host
			// that is not ready.
			l.notReady.Add(1)
			runtime.Gosched()
			continue
		}
		prompt := fmt.Sprintf("caller %d asks %d", caller, n)
		l.check(prompt, tokens, s.sendRequest(e, local.CompletionRequest(prompt, tokens, true)))
	}
}

// check records as unexpected every response that is neither complete nor a refusal that the
// caller may retry.
func (l *callerLoad) check(prompt string, tokens int, a local.Response) {
	switch {
	case a.Err != nil:
		l.addUnexpected("%s: %v after status %d", prompt, a.Err, a.Status)
	case a.Status == http.StatusOK && a.Body == strings.Join(standin.Stream(prompt, tokens), ""):
		l.complete.Add(1)
	case a.Status == http.StatusServiceUnavailable && a.Verdict == verdict.NotRun && a.Header.Get("Retry-After") != "":
		l.refused.Add(1)
	default:
		l.addUnexpected("%s: status %d, verdict %s, body %.300q", prompt, a.Status, a.Verdict, a.Body)
	}
}

// addUnexpected records a response that should not have come, for the error message of the test.
func (l *callerLoad) addUnexpected(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unexpected = append(l.unexpected, fmt.Sprintf(format, args...))
}

// stopAndWait stops the callers and returns the unexpected responses.
func (l *callerLoad) stopAndWait() []string {
	close(l.stop)
	l.wg.Wait()
	return l.unexpected
}
