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

// callerLoad is a crowd of callers that ask until they are stopped.
type callerLoad struct {
	stop chan struct{}
	wg   sync.WaitGroup
	// complete and refused count the answers that came whole and those that say not-run.
	complete, refused, notReady atomic.Int64

	mu         sync.Mutex
	unexpected []string
}

// startLoad lets callers ask each of the entry hosts for streamed completions of
// tokens tokens, each caller one after another.
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
			// The platform's balancer sends nobody to a host that is not ready.
			l.notReady.Add(1)
			runtime.Gosched()
			continue
		}
		prompt := fmt.Sprintf("caller %d asks %d", caller, n)
		l.check(prompt, tokens, s.sendRequest(e, local.Completion(prompt, tokens, true)))
	}
}

// check notes every answer that is neither whole nor refused in a way that lets the
// caller ask again.
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

func (l *callerLoad) addUnexpected(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unexpected = append(l.unexpected, fmt.Sprintf(format, args...))
}

// stopAndWait stops the callers and returns what was neither whole nor refused.
func (l *callerLoad) stopAndWait() []string {
	close(l.stop)
	l.wg.Wait()
	return l.unexpected
}
