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
	pathHosts      = 3
	pathServers    = 2
	pathTokens     = 8
	relayServers   = 16
	longestLatency = time.Minute
	digits         = 3
	maxIdle        = 1024
)

var errWrongAnswer = errors.New("wrong answer of the engine")

type (
	// PathOptions says what the path measurement runs.
	PathOptions struct {
		Daemon  string        // path of the daemon's program
		Calls   int           // of each kind
		Callers int           // at once
		Streams int           // at once, while relaying
		Relay   time.Duration // time of relaying
		Paces   []time.Duration
	}

	// Quantiles are quantiles of a latency.
	Quantiles struct {
		P50 time.Duration `json:"p50Nanoseconds"`
		P99 time.Duration `json:"p99Nanoseconds"`
	}

	// AddedLatency compares a direct call to a backend server with the same call
	// through a daemon.
	AddedLatency struct {
		Call   string    `json:"call"`
		Direct Quantiles `json:"direct"`
		Routed Quantiles `json:"routed"`
	}

	// RelayThroughput is how many tokens a daemon relayed and what that cost it.
	RelayThroughput struct {
		Pace          time.Duration `json:"paceNanoseconds"` // between tokens of one stream; 0: none
		Streams       int           `json:"streams"`
		Tokens        int           `json:"tokens"`
		PerSecond     float64       `json:"tokensPerSecond"`
		PerCoreSecond float64       `json:"tokensPerCoreSecond"`
	}

	// PathReport is the whole measurement.
	PathReport struct {
		IdleMemory float64   `json:"idleMemoryBytes"`
		Added      []AddedLatency   `json:"added"`
		Relay    []RelayThroughput `json:"relayed"`
	}

	// probe makes one call of a kind, directly or through a daemon.
	probe struct {
		name   string
		direct func(ctx context.Context, number int) error
		routed func(ctx context.Context, number int) error
	}

	// prober is one caller that makes direct and routed calls in turn.
	prober struct {
		probe  probe
		ctx    context.Context
		first  int
		count  int
		direct *hdrhistogram.Histogram
		routed *hdrhistogram.Histogram
		err    error
	}

	// pathFleet is a fleet with the servers that the measurement calls.
	pathFleet struct {
		*fleet
		plainly *http.Client
		callers *client.Client
		engines *wire.Client
		engine  backend.Server
		plain   netip.AddrPort
	}

	// relayReader reads streams through a daemon until the deadline.
	relayReader struct {
		fleet    *pathFleet
		ctx      context.Context
		number   int
		deadline time.Time
		tokens   int
		err      error
	}
)

// MeasurePath measures what a daemon adds to a call, and what it costs to relay
// tokens.
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
	for _, probe := range p.probes() {
		added, err := measureAdded(ctx, o, probe)
		if err != nil {
			return report, fmt.Errorf("%s: %w", probe.name, err)
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
		stand := engine.New(engine.Options{
			Role: "decode", Model: model, Slots: 64, PrefillRate: 1_000_000_000, TokenGap: time.Millisecond,
			LinkRate: 1_000_000_000, KVBytesPerToken: 1, KVLifetime: time.Second, CacheBlocks: 1024,
		})
		go stand.Run(f.done)
		address := f.address(100, 1+i, serverPort)
		if err := f.serve(address, stand.Handler(address.String())); err != nil {
			return p, err
		}
		p.engine.Address = address
		f.list(fmt.Sprintf("decode-%d", i), address, map[string]string{"role": "decode", "model": model, "slots": "64", "failureDomain": domainOf(0)})
	}
	p.plain = f.address(101, 1, serverPort)
	if err := f.serve(p.plain, service.New(plainService, 0)); err != nil {
		return p, err
	}
	f.list("cart-1", p.plain, map[string]string{"role": "plain", "service": plainService, "failureDomain": domainOf(0)})
	return p, f.startDaemons(ctx, program, pathHosts, pathServers+1, 1)
}

func newPathFleet(f *fleet) *pathFleet {
	return &pathFleet{
		fleet: f, engines: wire.New(), plainly: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}}, callers: client.New(),
	}
}

// probes are the calls that are compared.
func (p *pathFleet) probes() []probe {
	return []probe{
		{"first token", p.decodeDirect(1), p.complete(1)},
		{fmt.Sprintf("%d tokens", pathTokens), p.decodeDirect(pathTokens), p.complete(pathTokens)},
		{"plain GET", p.plainCall(http.MethodGet, false), p.plainCall(http.MethodGet, true)},
		{"plain POST with key", p.plainCall(http.MethodPost, false), p.plainCall(http.MethodPost, true)},
	}
}

// decodeDirect reads the first tokens from the engine itself.
func (p *pathFleet) decodeDirect(tokens int) func(context.Context, int) error {
	return func(ctx context.Context, number int) error {
		prompt := promptOf("direct", number)
		stream, err := p.engines.Decode(ctx, p.engine, wire.DecodeRequest{
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
		return check(prompt, tokens, text.String())
	}
}

// complete reads a streamed answer through the first daemon.
func (p *pathFleet) complete(tokens int) func(context.Context, int) error {
	return func(ctx context.Context, number int) error {
		return p.stream(ctx, promptOf("routed", number), tokens)
	}
}

func check(prompt string, tokens int, text string) error {
	if want := engine.ResponseText(prompt, tokens); text != want {
		return fmt.Errorf("%w: %q, want %q", errWrongAnswer, text, want)
	}
	return nil
}

// stream sends a completion through the first daemon and checks its answer.
func (p *pathFleet) stream(ctx context.Context, prompt string, tokens int) error {
	answer, err := p.callers.Complete(ctx, p.daemons[0].caller, client.Completion{
		Workspace: workspaceName, Model: model, Prompt: prompt, Tokens: tokens,
	})
	if err == nil && answer.Status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", answer.Status, answer.Body)
	}
	return err
}

// plainCall calls the plain service directly or through the first daemon.
func (p *pathFleet) plainCall(method string, routed bool) func(context.Context, int) error {
	return func(ctx context.Context, number int) error {
		url := "http://" + p.plain.String() + "/holds"
		if routed {
			url = "http://" + p.daemons[0].caller + "/services/" + plainService + "/holds"
		}
		request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(`{"isbn":"978-81-203-0001-1"}`))
		if err != nil {
			return err
		}
		request.Header.Set("X-Workspace", workspaceName)
		if method != http.MethodGet {
			request.Header.Set("Idempotency-Key", fmt.Sprintf("hold-%d", number))
		}
		response, err := p.plainly.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		answer, err := io.ReadAll(response.Body)
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d: %s", response.StatusCode, answer)
		}
		return err
	}
}

func measureAdded(ctx context.Context, o PathOptions, p probe) (AddedLatency, error) {
	direct, routed := newHistogram(), newHistogram()
	probers := make([]*prober, o.Callers)
	var group sync.WaitGroup
	for i := range probers {
		count := o.Calls / o.Callers
		probers[i] = &prober{probe: p, ctx: ctx, first: i * count, count: count, direct: newHistogram(), routed: newHistogram()}
		group.Go(probers[i].run)
	}
	group.Wait()
	for _, each := range probers {
		if each.err != nil {
			return AddedLatency{}, each.err
		}
		direct.Merge(each.direct)
		routed.Merge(each.routed)
	}
	return AddedLatency{Call: p.name, Direct: quantilesOf(direct), Routed: quantilesOf(routed)}, nil
}

// run makes each call in both ways, so that both meet the same machine.
func (p *prober) run() {
	for i := p.first; i < p.first+p.count && p.err == nil; i++ {
		p.err = errors.Join(timed(p.ctx, p.direct, p.probe.direct, i), timed(p.ctx, p.routed, p.probe.routed, i))
	}
}

func timed(ctx context.Context, h *hdrhistogram.Histogram, call func(context.Context, int) error, number int) error {
	begin := time.Now()
	if err := call(ctx, number); err != nil {
		return err
	}
	return h.RecordValue(int64(time.Since(begin)))
}

// measureRelay lets callers read streams whose tokens come at a pace, and
// compares their number with the processor time of the daemon.
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
		f.list(fmt.Sprintf("decode-%d", i), address, map[string]string{"role": "decode", "model": model, "slots": "1000", "failureDomain": domainOf(0)})
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

// run reads one stream after the other and checks each.
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
	return hdrhistogram.New(1, int64(longestLatency), digits)
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: time.Duration(h.ValueAtQuantile(50)), P99: time.Duration(h.ValueAtQuantile(99))}
}

func promptOf(name string, number int) string {
	return fmt.Sprintf("%s %d: which editions of Calculus I match the syllabus?", name, number)
}

// WriteTable prints the report.
func (r PathReport) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "idle memory of a daemon: %.1f MB\n\n", r.IdleMemory/bytesOfMB)
	fmt.Fprintln(w, "CALL\tDIRECT P50\tROUTED P50\tADDED P50\tRATIO P50\tDIRECT P99\tROUTED P99\tADDED P99\tRATIO P99")
	for _, a := range r.Added {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%s\t%s\t%s\t%.2f\n", a.Call,
			short(a.Direct.P50), short(a.Routed.P50), short(a.Routed.P50-a.Direct.P50), ratio(a.Routed.P50, a.Direct.P50),
			short(a.Direct.P99), short(a.Routed.P99), short(a.Routed.P99-a.Direct.P99), ratio(a.Routed.P99, a.Direct.P99))
	}
	fmt.Fprintln(w, "\nTOKEN GAP\tSTREAMS\tTOKENS\tTOKENS/S\tTOKENS/S PER CORE")
	for _, s := range r.Relay {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%.0f\n", s.Pace, s.Streams, s.Tokens, s.PerSecond, s.PerCoreSecond)
	}
	return w.Flush()
}

func short(d time.Duration) time.Duration {
	return d.Round(time.Microsecond)
}

func ratio(a, b time.Duration) float64 {
	return float64(a) / float64(b)
}
