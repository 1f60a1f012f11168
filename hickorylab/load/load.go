// Package load sends requests to daemons at a fixed mean rate and checks every
// response. The rate doesn't depend on the completion of earlier requests.
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
	maxRecordedTime   = 10 * time.Minute
	significantDigits = 3
	fillerWord        = " book"
)

// ErrWrongResponses means that a caller got a wrong response, or two different
// responses to one call.
var ErrWrongResponses = errors.New("wrong or doubled responses")

type (
	// Options are the options of a load.
	Options struct {
		Hosts         []string // caller addresses of the daemons
		Rate          float64  // requests per second
		Duration      time.Duration
		CallerTimeout time.Duration // time after which a caller abandons its request
		Workspaces    []string
		Model         string
		ModelService  string
		PlainService  string
		PlainShare    float64       // share of plain calls among all requests
		RetryShare    float64       // share of plain calls that are retried on another host
		PromptMin     int           // minimum prompt length in tokens
		PromptMax     int           // maximum prompt length in tokens
		MaxTokens     int           // generated tokens of a completion
		FirstToken    time.Duration // target of the time to the first token
		TokenGap      time.Duration // target of the longest gap between tokens
		Seed          uint64
	}

	// Report is the result of a load. Counts are of requests.
	Report struct {
		Sent              int       `json:"sent"`
		Answered          int       `json:"answered"`   // completions and plain calls with a complete response
		Good              int       `json:"good"`       // completions within both targets
		Completed         int       `json:"completed"`  // completions with a complete response
		RefusedNotRun     int       `json:"refusedNo"`  // refused and reported as not run
		RefusedMayHaveRun int       `json:"refusedAny"` // refused and possibly run
		Failed            int       `json:"failed"`     // neither a complete response nor a refusal
		Wrong             int       `json:"wrong"`      // responses with a wrong text
		Doubled           int       `json:"doubled"`    // retries with a different response than the first call
		FirstWrong        string    `json:"firstWrong,omitempty"`
		FirstFailed       string    `json:"firstFailed,omitempty"`
		FirstToken        Quantiles `json:"firstToken"`
		TokenGap          Quantiles `json:"tokenGap"`
		Plain             Quantiles `json:"plain"`
	}

	// Quantiles are quantiles of a duration.
	Quantiles struct {
		P50 time.Duration `json:"p50Nanoseconds"`
		P95 time.Duration `json:"p95Nanoseconds"`
		P99 time.Duration `json:"p99Nanoseconds"`
		Max time.Duration `json:"maxNanoseconds"`
	}

	// runner is the state of a load. mu guards the report and the histograms.
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

	// request is a request with all random choices made.
	request struct {
		runner     *runner
		ctx        context.Context
		host       string
		retryHost  string
		workspace  string
		isPlain    bool
		retry      bool
		key        string
		completion client.Completion
	}
)

// Run sends the load and waits until all requests have ended. It returns
// ErrWrongResponses if a response was wrong or differed from that of a retry.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &runner{
		options: o, client: client.New(), random: rand.New(rand.NewPCG(o.Seed, o.Seed)),
		firstToken: newHistogram(), tokenGap: newHistogram(), plain: newHistogram(),
	}
	var group sync.WaitGroup
	next := time.Now()
	for end := next.Add(o.Duration); next.Before(end) && ctx.Err() == nil; {
		wait(ctx, time.Until(next))
		group.Go(r.nextRequest(ctx).run)
		next = next.Add(time.Duration(r.random.ExpFloat64() / o.Rate * float64(time.Second)))
	}
	group.Wait()
	return r.finish()
}

// nextRequest makes the random choices of the next request, in a fixed order, so
// that a seed always gives the same requests.
func (r *runner) nextRequest(ctx context.Context) request {
	o := r.options
	r.report.Sent++
	host := r.random.IntN(len(o.Hosts))
	name := fmt.Sprintf("load-%d-%d", o.Seed, r.report.Sent)
	drawn := request{
		runner: r, ctx: ctx, host: o.Hosts[host], retryHost: o.Hosts[(host+1)%len(o.Hosts)],
		workspace: o.Workspaces[r.random.IntN(len(o.Workspaces))], key: name,
		isPlain: r.random.Float64() < o.PlainShare, retry: r.random.Float64() < o.RetryShare,
	}
	tokens := o.PromptMin + r.random.IntN(o.PromptMax-o.PromptMin+1)
	drawn.completion = client.Completion{
		Workspace: drawn.workspace, Service: o.ModelService, Model: o.Model, Prompt: Prompt(name, tokens), Tokens: o.MaxTokens,
	}
	return drawn
}

// Prompt returns a prompt of about the given number of tokens that begins with
// a name.
func Prompt(name string, tokens int) string {
	const bytesPerToken = 4
	return name + strings.Repeat(fillerWord, max(0, tokens*bytesPerToken-len(name))/len(fillerWord)+1)
}

func (q request) run() {
	ctx, cancel := context.WithTimeout(q.ctx, q.runner.options.CallerTimeout)
	defer cancel()
	if q.isPlain {
		q.call(ctx)
		return
	}
	response, err := q.runner.client.Complete(ctx, q.host, q.completion)
	q.runner.recordCompletion(response, err)
}

// call sends a call that must run at most once. If the request is to be retried, it
// sends the same call to another host, and both responses must be the same.
func (q request) call(ctx context.Context) {
	call := client.Call{
		Workspace: q.workspace, Service: q.runner.options.PlainService, Method: http.MethodPost, Path: "/holds",
		Key: q.key, Body: fmt.Sprintf(`{"hold":%q}`, q.key),
	}
	first, err := q.runner.client.Call(ctx, q.host, call)
	q.runner.recordCall(first, err)
	if !q.retry || err != nil || first.Status != http.StatusOK {
		return
	}
	second, err := q.runner.client.Call(ctx, q.retryHost, call)
	if err == nil && second.Status == http.StatusOK && second.Body != first.Body {
		q.runner.recordDoubled(q.key, first.Body, second.Body)
	}
}

func (r *runner) recordCompletion(response client.Response, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.recordOutcome(response, err) {
		return
	}
	r.report.Completed++
	if response.FirstToken <= r.options.FirstToken && response.MaxTokenGap <= r.options.TokenGap {
		r.report.Good++
	}
	recordTime(r.firstToken, response.FirstToken)
	recordTime(r.tokenGap, response.MaxTokenGap)
}

func (r *runner) recordCall(response client.Response, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recordOutcome(response, err) {
		recordTime(r.plain, response.TotalTime)
	}
}

// recordOutcome counts the outcome of a request and reports whether it is a complete
// response. The caller holds mu.
func (r *runner) recordOutcome(response client.Response, err error) bool {
	switch {
	case errors.Is(err, client.ErrWrongResponse):
		r.report.Wrong++
		setFirst(&r.report.FirstWrong, err.Error())
	case err != nil:
		r.report.Failed++
		setFirst(&r.report.FirstFailed, err.Error())
	case response.Status == http.StatusOK:
		r.report.Answered++
		return true
	case response.Ran == "no":
		r.report.RefusedNotRun++
	default:
		r.report.RefusedMayHaveRun++
		setFirst(&r.report.FirstFailed, fmt.Sprintf("status %d: %s", response.Status, response.Body))
	}
	return false
}

func (r *runner) recordDoubled(key, first, second string) {
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

// WriteTable writes the report as text tables.
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", row.name, roundTime(row.q.P50), roundTime(row.q.P95), roundTime(row.q.P99), roundTime(row.q.Max))
	}
	return w.Flush()
}

func roundTime(d time.Duration) time.Duration {
	return d.Round(10 * time.Microsecond)
}

func setFirst(target *string, text string) {
	if *target == "" {
		*target = text
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRecordedTime), significantDigits)
}

func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(int64(d), int64(maxRecordedTime))) // can't fail: the value is within the range
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
