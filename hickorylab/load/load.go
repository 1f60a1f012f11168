// Package load sends requests to daemons at a steady rate, whether or not
// earlier ones were answered, and checks every answer.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickoryfront/hickoryfront/hickorylab/client"
)

const (
	longest = 10 * time.Minute
	digits  = 3
	word    = " book"
)

// ErrWrongResponses means that a caller got a wrong or doubled answer.
var ErrWrongResponses = errors.New("wrong or doubled answers")

type (
	// Options says what is sent.
	Options struct {
		Hosts        []string // callers' addresses of the daemons
		Rate         float64  // requests per second
		Duration     time.Duration
		CallerTimeout     time.Duration // a caller's longest wait
		Workspaces   []string
		Model        string
		ModelService string
		PlainService string
		PlainShare   float64 // of all requests
		RetryShare  float64 // of plain calls that are sent again to another host
		PromptMin    int     // tokens
		PromptMax    int
		MaxTokens       int // of an answer
		FirstToken   time.Duration
		TokenGap     time.Duration
		Seed         uint64
	}

	// Report is the outcome of a load.
	Report struct {
		Sent       int       `json:"sent"`
		Answered   int       `json:"answered"`
		Good       int       `json:"good"`       // completions within both targets
		Completed  int       `json:"completed"`  // completions answered whole
		RefusedNotRun  int       `json:"refusedNo"`  // refused as not run
		RefusedMayHaveRun int       `json:"refusedAny"` // refused, may have run
		Failed     int       `json:"failed"`     // no whole answer and no refusal
		Wrong      int       `json:"wrong"`
		Doubled    int       `json:"doubled"`
		FirstWrong string    `json:"firstWrong,omitempty"`
		FirstFailed  string    `json:"firstFailed,omitempty"`
		FirstToken Quantiles `json:"firstToken"`
		TokenGap   Quantiles `json:"tokenGap"`
		Plain      Quantiles `json:"plain"`
	}

	// Quantiles are quantiles of a time.
	Quantiles struct {
		P50  time.Duration `json:"p50Nanoseconds"`
		P95  time.Duration `json:"p95Nanoseconds"`
		P99  time.Duration `json:"p99Nanoseconds"`
		Max time.Duration `json:"maxNanoseconds"`
	}

	// runner holds the state of one load. Its report is guarded by mu.
	runner struct {
		options Options
		client  *client.Client
		random  *rand.Rand

		mu         sync.Mutex
		report     Report
		firstToken *hdrhistogram.Histogram
		tokenGap   *hdrhistogram.Histogram
		plain      *hdrhistogram.Histogram
	}

	// request is one request with all its random choices made.
	request struct {
		runner     *runner
		ctx        context.Context
		host       string
		otherHost  string
		workspace  string
		isPlain    bool
		resend     bool
		key        string
		completion client.Completion
	}
)

// Run sends the load and waits for the last answer. The error is
// ErrWrongAnswers when an answer was wrong or doubled.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &runner{
		options: o, client: client.New(), random: rand.New(rand.NewPCG(o.Seed, o.Seed)),
		firstToken: newHistogram(), tokenGap: newHistogram(), plain: newHistogram(),
	}
	var group sync.WaitGroup
	next := time.Now()
	for end := next.Add(o.Duration); next.Before(end) && ctx.Err() == nil; {
		wait(ctx, time.Until(next))
		group.Go(r.draw(ctx).run)
		next = next.Add(time.Duration(r.random.ExpFloat64() / o.Rate * float64(time.Second)))
	}
	group.Wait()
	return r.finish()
}

// draw makes the choices of the next request, in one order for each seed.
func (r *runner) draw(ctx context.Context) request {
	o := r.options
	r.report.Sent++
	host := r.random.IntN(len(o.Hosts))
	name := fmt.Sprintf("load-%d-%d", o.Seed, r.report.Sent)
	drawn := request{
		runner: r, ctx: ctx, host: o.Hosts[host], otherHost: o.Hosts[(host+1)%len(o.Hosts)],
		workspace: o.Workspaces[r.random.IntN(len(o.Workspaces))], key: name,
		isPlain: r.random.Float64() < o.PlainShare, resend: r.random.Float64() < o.RetryShare,
	}
	tokens := o.PromptMin + r.random.IntN(o.PromptMax-o.PromptMin+1)
	drawn.completion = client.Completion{
		Workspace: drawn.workspace, Service: o.ModelService, Model: o.Model, Prompt: Prompt(name, tokens), Tokens: o.MaxTokens,
	}
	return drawn
}

// Prompt returns a prompt of about the given number of tokens that begins with
// its own name.
func Prompt(name string, tokens int) string {
	const bytesPerToken = 4
	return name + strings.Repeat(word, max(0, tokens*bytesPerToken-len(name))/len(word)+1)
}

func (q request) run() {
	ctx, cancel := context.WithTimeout(q.ctx, q.runner.options.CallerTimeout)
	defer cancel()
	if q.isPlain {
		q.call(ctx)
		return
	}
	answer, err := q.runner.client.Complete(ctx, q.host, q.completion)
	q.runner.noteCompletion(answer, err)
}

// call sends a call that may not be repeated, and perhaps sends it again to
// another host: both answers must be the same.
func (q request) call(ctx context.Context) {
	call := client.Call{
		Workspace: q.workspace, Service: q.runner.options.PlainService, Method: http.MethodPost, Path: "/holds",
		Key: q.key, Body: fmt.Sprintf(`{"hold":%q}`, q.key),
	}
	first, err := q.runner.client.Call(ctx, q.host, call)
	q.runner.noteCall(first, err)
	if !q.resend || err != nil || first.Status != http.StatusOK {
		return
	}
	second, err := q.runner.client.Call(ctx, q.otherHost, call)
	if err == nil && second.Status == http.StatusOK && second.Body != first.Body {
		q.runner.noteDoubled(q.key, first.Body, second.Body)
	}
}

func (r *runner) noteCompletion(a client.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.noteAnswer(a, err) {
		return
	}
	r.report.Completed++
	if a.FirstToken <= r.options.FirstToken && a.WorstGap <= r.options.TokenGap {
		r.report.Good++
	}
	record(r.firstToken, a.FirstToken)
	record(r.tokenGap, a.WorstGap)
}

func (r *runner) noteCall(a client.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.noteAnswer(a, err) {
		record(r.plain, a.Whole)
	}
}

// noteAnswer counts an outcome and reports whether it is a whole answer. The
// caller holds mu.
func (r *runner) noteAnswer(a client.Answer, err error) bool {
	switch {
	case errors.Is(err, client.ErrWrong):
		r.report.Wrong++
		setFirst(&r.report.FirstWrong, err.Error())
	case err != nil:
		r.report.Failed++
		setFirst(&r.report.FirstFailed, err.Error())
	case a.Status == http.StatusOK:
		r.report.Answered++
		return true
	case a.Ran == "no":
		r.report.RefusedNotRun++
	default:
		r.report.RefusedMayHaveRun++
		setFirst(&r.report.FirstFailed, fmt.Sprintf("status %d: %s", a.Status, a.Body))
	}
	return false
}

func (r *runner) noteDoubled(key, first, second string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Doubled++
	setFirst(&r.report.FirstWrong, fmt.Sprintf("key %s was answered with %q and with %q", key, first, second))
}

func (r *runner) finish() (Report, error) {
	r.report.FirstToken = quantilesOf(r.firstToken)
	r.report.TokenGap = quantilesOf(r.tokenGap)
	r.report.Plain = quantilesOf(r.plain)
	if wrong := r.report.Wrong + r.report.Doubled; wrong > 0 {
		return r.report, fmt.Errorf("%w: %d, the first: %s", ErrWrongResponses, wrong, r.report.FirstWrong)
	}
	return r.report, nil
}

// WriteTable prints the report.
func (r Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SENT\tANSWERED\tREFUSED, NOT RUN\tREFUSED, MAY HAVE RUN\tFAILED\tWRONG\tDOUBLED")
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\n\n", r.Sent, r.Answered, r.RefusedNotRun, r.RefusedMayHaveRun, r.Failed, r.Wrong, r.Doubled)
	fmt.Fprintf(w, "completions within both targets: %d of %d\n", r.Good, r.Completed)
	if r.FirstFailed != "" {
		fmt.Fprintf(w, "first failure: %s\n", r.FirstFailed)
	}
	fmt.Fprintln(w, "\nTIME\tP50\tP95\tP99\tMAX")
	rows := []struct {
		name string
		q    Quantiles
	}{{"first token", r.FirstToken}, {"longest token gap", r.TokenGap}, {"plain call", r.Plain}}
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", row.name, short(row.q.P50), short(row.q.P95), short(row.q.P99), short(row.q.Max))
	}
	return w.Flush()
}

func short(d time.Duration) time.Duration {
	return d.Round(10 * time.Microsecond)
}

func setFirst(held *string, text string) {
	if *held == "" {
		*held = text
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(longest), digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(int64(d), int64(longest))) // is within its range
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: time.Duration(h.ValueAtQuantile(50)), P95: time.Duration(h.ValueAtQuantile(95)),
		P99: time.Duration(h.ValueAtQuantile(99)), Max: time.Duration(h.Max()),
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
