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

// load is a crowd of callers that ask until they are stopped.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup
	// whole and refused count the answers that came whole and those that say not-run.
	whole, refused, unreached atomic.Int64

	mu  sync.Mutex
	bad []string
}

// startLoad lets callers ask each of the entry hosts for streamed completions of
// tokens tokens, each caller one after another.
func (s *system) startLoad(callers, tokens int, entries ...*local.Host) *load {
	l := &load{stop: make(chan struct{})}
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

func (l *load) run(s *system, e *local.Host, caller, tokens int) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if !local.IsReady(s.ctx, e) {
			// The platform's balancer sends nobody to a host that is not ready.
			l.unreached.Add(1)
			runtime.Gosched()
			continue
		}
		prompt := fmt.Sprintf("caller %d asks %d", caller, n)
		l.judge(prompt, tokens, s.do(e, local.Completion(prompt, tokens, true)))
	}
}

// judge notes every answer that is neither whole nor refused in a way that lets the
// caller ask again.
func (l *load) judge(prompt string, tokens int, a local.Response) {
	switch {
	case a.Err != nil:
		l.note("%s: %v after status %d", prompt, a.Err, a.Status)
	case a.Status == http.StatusOK && a.Body == strings.Join(standin.Stream(prompt, tokens), ""):
		l.whole.Add(1)
	case a.Status == http.StatusServiceUnavailable && a.Verdict == verdict.NotRun && a.Header.Get("Retry-After") != "":
		l.refused.Add(1)
	default:
		l.note("%s: status %d, verdict %s, body %.300q", prompt, a.Status, a.Verdict, a.Body)
	}
}

func (l *load) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bad = append(l.bad, fmt.Sprintf(format, args...))
}

// end stops the callers and returns what was neither whole nor refused.
func (l *load) end() []string {
	close(l.stop)
	l.wg.Wait()
	return l.bad
}
