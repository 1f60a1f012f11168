package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickoryfront/hickoryfront/core/backend"
	wire "github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/client"
	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/service"
)

const (
	pathHosts          = 3
	pathServers        = 2
	pathTokens         = 8
	relayServers       = 16
	maxLatency         = time.Minute
	significantDigits  = 3
	maxIdleConnections = 1024
)

var errWrongResponse = errors.New("engine returned a wrong response")

type (
	// PathOptions are the options of MeasurePath.
	PathOptions struct {
		Daemon  string          // path of the daemon's executable
		Calls   int             // calls of each kind
		Callers int             // concurrent callers
		Streams int             // concurrent streams of the relay measurement
		Relay   time.Duration   // length of the relay measurement at each pace
		Paces   []time.Duration // token gaps of the relay measurement; 0: no gap
	}

	// Quantiles are quantiles of the latency of a call.
	Quantiles struct {
		P50 time.Duration `json:"p50Nanoseconds"`
		P99 time.Duration `json:"p99Nanoseconds"`
	}

	// AddedLatency compares the latency of a direct call to a backend server with
	// that of the same call through a daemon.
	AddedLatency struct {
		Call   string    `json:"call"`
		Direct Quantiles `json:"direct"`
		Routed Quantiles `json:"routed"`
	}

	// RelayThroughput is the number of tokens that a daemon relayed, in total and
	// per second of processor time.
	RelayThroughput struct {
		Pace          time.Duration `json:"paceNanoseconds"` // gap between tokens of one stream; 0: no gap
		Streams       int           `json:"streams"`
		Tokens        int           `json:"tokens"`
		PerSecond     float64       `json:"tokensPerSecond"`
		PerCoreSecond float64       `json:"tokensPerCoreSecond"`
	}

	// PathReport is the report of MeasurePath.
	PathReport struct {
		IdleMemory float64           `json:"idleMemoryBytes"`
		Added      []AddedLatency    `json:"added"`
		Relay      []RelayThroughput `json:"relayed"`
	}

	// comparison is a kind of call that is made directly and through a daemon.
	comparison struct {
		name   string
		direct func(ctx context.Context, number int) error
		routed func(ctx context.Context, number int) error
	}

	// comparisonCaller makes direct and routed calls in turn.
	comparisonCaller struct {
		comparison comparison
		ctx        context.Context
		first      int
		count      int
		direct     *hdrhistogram.Histogram
		routed     *hdrhistogram.Histogram
		err        error
	}

	// pathFleet is a fleet with the backend servers and clients of the path
	// measurement.
	pathFleet struct {
		*fleet
		plainClient  *http.Client
		routedClient *client.Client
		engineClient *wire.Client
		engine       backend.Server
		plainAddress netip.AddrPort
	}

	// relayReader reads streams through a daemon, one after the other, until
	// the deadline.
	relayReader struct {
		fleet    *pathFleet
		ctx      context.Context
		number   int
		deadline time.Time
		tokens   int
		err      error
	}
)

// MeasurePath measures the latency that a daemon adds to a call and the processor
// time that it uses to relay tokens.
func MeasurePath(ctx context.Context, o PathOptions) (PathReport, error) {
	var report PathReport
	p, err := startPathFleet(ctx, o.Daemon)
	if err != nil {
		return report, err
	}
	defer p.close()
	sleep(ctx, startSettle)
	usage, err := readUsage(p.daemons[0])
	if err != nil {
		return report, err
	}
	report.IdleMemory = usage.memory
	for _, comparison := range p.comparisons() {
		added, err := measureAdded(ctx, o, comparison)
		if err != nil {
			return report, fmt.Errorf("%s: %w", comparison.name, err)
		}
		report.Added = append(report.Added, added)
	}
	for i, pace := range o.Paces {
		relayed, err := measureRelay(ctx, o, 1+i, pace)
		if err != nil {
			return report, fmt.Errorf("relay: %w", err)
		}
		report.Relay = append(report.Relay, relayed)
	}
	return report, nil
}

const startSettle = 3 * time.Second

func startPathFleet(ctx context.Context, program string) (*pathFleet, error) {
	f, err := newFleet(0)
	if err != nil {
		return nil, err
	}
	p := newPathFleet(f)
	for i := range pathServers {
		standIn := engine.New(engine.Options{
			Role: "decode", Model: model, Slots: 64, PrefillRate: 1_000_000_000, TokenGap: time.Millisecond,
			LinkRate: 1_000_000_000, KVBytesPerToken: 1, KVLifetime: time.Second, CacheBlocks: 1024,
		})
		go standIn.Run(f.done)
		address := f.address(100, 1+i, serverPort)
		if err := f.serve(address, standIn.Handler(address.String())); err != nil {
			return p, err
		}
		p.engine.Address = address
		f.register(fmt.Sprintf("decode-%d", i), address, map[string]string{"role": "decode", "model": model, "slots": "64", "failureDomain": domainOf(0)})
	}
	p.plainAddress = f.address(101, 1, serverPort)
	if err := f.serve(p.plainAddress, service.New(plainService, 0)); err != nil {
		return p, err
	}
	f.register("cart-1", p.plainAddress, map[string]string{"role": "plain", "service": plainService, "failureDomain": domainOf(0)})
	return p, f.startDaemons(ctx, program, pathHosts, pathServers+1, 1)
}

func newPathFleet(f *fleet) *pathFleet {
	return &pathFleet{
		fleet: f, engineClient: wire.New(), plainClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}, routedClient: client.New(),
	}
}

// comparisons returns the kinds of calls that are compared.
func (p *pathFleet) comparisons() []comparison {
	return []comparison{
		{"first token", p.directDecode(1), p.routedCompletion(1)},
		{fmt.Sprintf("%d tokens", pathTokens), p.directDecode(pathTokens), p.routedCompletion(pathTokens)},
		{"plain GET", p.plainCall(http.MethodGet, false), p.plainCall(http.MethodGet, true)},
		{"plain POST with key", p.plainCall(http.MethodPost, false), p.plainCall(http.MethodPost, true)},
	}
}

// directDecode returns a call that reads the first tokens directly from the engine.
func (p *pathFleet) directDecode(tokens int) func(context.Context, int) error {
	return func(ctx context.Context, number int) error {
		prompt := promptOf("direct", number)
		stream, err := p.engineClient.Decode(ctx, p.engine, wire.DecodeRequest{
			RequestID: fmt.Sprintf("direct-%d-%d", tokens, number), Model: model, Prompt: prompt, MaxTokens: tokens,
		})
		if err != nil {
			return err
		}
		defer stream.Close()
		var text strings.Builder
		for range tokens {
			token, err := stream.Next()
			if err != nil {
				return err
			}
			text.WriteString(token.Text)
		}
		return checkResponse(prompt, tokens, text.String())
	}
}

// routedCompletion returns a call that reads a streamed completion through the first
// daemon.
func (p *pathFleet) routedCompletion(tokens int) func(context.Context, int) error {
	return func(ctx context.Context, number int) error {
		return p.stream(ctx, promptOf("routed", number), tokens)
	}
}

func checkResponse(prompt string, tokens int, text string) error {
	if want := engine.ResponseText(prompt, tokens); text != want {
		return fmt.Errorf("%w: %q, want %q", errWrongResponse, text, want)
	}
	return nil
}

// stream sends a completion through the first daemon and checks the response.
func (p *pathFleet) stream(ctx context.Context, prompt string, tokens int) error {
	response, err := p.routedClient.Complete(ctx, p.daemons[0].callerAddress, client.Completion{
		Workspace: workspaceName, Model: model, Prompt: prompt, Tokens: tokens,
	})
	if err == nil && response.Status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.Status, response.Body)
	}
	return err
}

// plainCall returns a call to the plain service, directly or through the first
// daemon.
func (p *pathFleet) plainCall(method string, routed bool) func(context.Context, int) error {
	return func(ctx context.Context, number int) error {
		url := "http://" + p.plainAddress.String() + "/holds"
		if routed {
			url = "http://" + p.daemons[0].callerAddress + "/services/" + plainService + "/holds"
		}
		request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(`{"isbn":"978-81-203-0001-1"}`))
		if err != nil {
			return err
		}
		request.Header.Set("X-Workspace", workspaceName)
		if method != http.MethodGet {
			request.Header.Set("Idempotency-Key", fmt.Sprintf("hold-%d", number))
		}
		response, err := p.plainClient.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d: %s", response.StatusCode, data)
		}
		return err
	}
}

func measureAdded(ctx context.Context, o PathOptions, p comparison) (AddedLatency, error) {
	direct, routed := newHistogram(), newHistogram()
	callers := make([]*comparisonCaller, o.Callers)
	var group sync.WaitGroup
	for i := range callers {
		count := o.Calls / o.Callers
		callers[i] = &comparisonCaller{comparison: p, ctx: ctx, first: i * count, count: count, direct: newHistogram(), routed: newHistogram()}
		group.Go(callers[i].run)
	}
	group.Wait()
	for _, caller := range callers {
		if caller.err != nil {
			return AddedLatency{}, caller.err
		}
		direct.Merge(caller.direct)
		routed.Merge(caller.routed)
	}
	return AddedLatency{Call: p.name, Direct: quantilesOf(direct), Routed: quantilesOf(routed)}, nil
}

// run makes each call directly and then through the daemon, so that both see the
// same load of the machine.
func (p *comparisonCaller) run() {
	for i := p.first; i < p.first+p.count && p.err == nil; i++ {
		p.err = errors.Join(timed(p.ctx, p.direct, p.comparison.direct, i), timed(p.ctx, p.routed, p.comparison.routed, i))
	}
}

func timed(ctx context.Context, h *hdrhistogram.Histogram, call func(context.Context, int) error, number int) error {
	begin := time.Now()
	if err := call(ctx, number); err != nil {
		return err
	}
	return h.RecordValue(int64(time.Since(begin)))
}

// measureRelay reads streams with a given token gap through a daemon and relates
// the number of tokens to the processor time of the daemon.
func measureRelay(ctx context.Context, o PathOptions, number int, pace time.Duration) (RelayThroughput, error) {
	f, err := newFleet(number)
	if err != nil {
		return RelayThroughput{}, err
	}
	defer f.close()
	p := newPathFleet(f)
	for i := range relayServers {
		address := f.address(100, 1+i, serverPort)
		if err := f.serve(address, pacedEngine{pace: pace}); err != nil {
			return RelayThroughput{}, err
		}
		f.register(fmt.Sprintf("decode-%d", i), address, map[string]string{"role": "decode", "model": model, "slots": "1000", "failureDomain": domainOf(0)})
	}
	if err := f.startDaemons(ctx, o.Daemon, 1, relayServers, 1); err != nil {
		return RelayThroughput{}, err
	}
	return p.relay(ctx, o, pace)
}

func (p *pathFleet) relay(ctx context.Context, o PathOptions, pace time.Duration) (RelayThroughput, error) {
	begin := time.Now()
	readers := make([]*relayReader, o.Streams)
	before, err := readUsage(p.daemons[0])
	if err != nil {
		return RelayThroughput{}, err
	}
	var group sync.WaitGroup
	for i := range readers {
		readers[i] = &relayReader{fleet: p, ctx: ctx, number: i, deadline: begin.Add(o.Relay)}
		group.Go(readers[i].run)
	}
	group.Wait()
	after, err := readUsage(p.daemons[0])
	r := RelayThroughput{Pace: pace, Streams: o.Streams}
	for _, reader := range readers {
		r.Tokens += reader.tokens
		err = errors.Join(err, reader.err)
	}
	r.PerSecond = float64(r.Tokens) / time.Since(begin).Seconds()
	r.PerCoreSecond = float64(r.Tokens) / (after.cpuSeconds - before.cpuSeconds)
	return r, err
}

// run reads streams until the deadline and checks the text of each.
func (r *relayReader) run() {
	const tokens = 1000
	for i := 0; time.Now().Before(r.deadline) && r.err == nil; i++ {
		prompt := promptOf(fmt.Sprintf("relay-%d", r.number), i)
		if r.err = r.fleet.stream(r.ctx, prompt, tokens); r.err == nil {
			r.tokens += tokens
		}
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency), significantDigits)
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: time.Duration(h.ValueAtQuantile(50)), P99: time.Duration(h.ValueAtQuantile(99))}
}

func promptOf(name string, number int) string {
	return fmt.Sprintf("%s %d: which editions of Calculus I match the syllabus?", name, number)
}

// WriteTable writes the report as text tables.
func (r PathReport) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "idle memory of a daemon: %.1f MB\n\n", r.IdleMemory/bytesPerMB)
	fmt.Fprintln(w, "CALL\tDIRECT P50\tROUTED P50\tADDED P50\tRATIO P50\tDIRECT P99\tROUTED P99\tADDED P99\tRATIO P99")
	for _, a := range r.Added {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%s\t%s\t%s\t%.2f\n", a.Call,
			roundLatency(a.Direct.P50), roundLatency(a.Routed.P50), roundLatency(a.Routed.P50-a.Direct.P50), ratio(a.Routed.P50, a.Direct.P50),
			roundLatency(a.Direct.P99), roundLatency(a.Routed.P99), roundLatency(a.Routed.P99-a.Direct.P99), ratio(a.Routed.P99, a.Direct.P99))
	}
	fmt.Fprintln(w, "\nTOKEN GAP\tSTREAMS\tTOKENS\tTOKENS/S\tTOKENS/S PER CORE")
	for _, s := range r.Relay {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%.0f\n", s.Pace, s.Streams, s.Tokens, s.PerSecond, s.PerCoreSecond)
	}
	return w.Flush()
}

func roundLatency(d time.Duration) time.Duration {
	return d.Round(time.Microsecond)
}

func ratio(a, b time.Duration) float64 {
	return float64(a) / float64(b)
}
