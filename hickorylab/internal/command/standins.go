// Package command implements the subcommands of hickorylab.
package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickorylab/consul"
	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/service"
)

const registerInterval = 100 * time.Millisecond

type (
	// Platform is the command that runs the platform stand-in.
	Platform struct {
		errors io.Writer
		listen string
	}

	// Engine is the command that runs an engine stand-in.
	Engine struct {
		errors   io.Writer
		listen   string
		register registration
		options  engine.Options
		fencing  string
	}

	// Service is the command that runs a plain service stand-in.
	Service struct {
		errors   io.Writer
		listen   string
		name     string
		latency  time.Duration
		register registration
	}

	// registration registers a stand-in in the platform's server list.
	registration struct {
		platform      string
		id            string
		failureDomain string
	}

	// catalogEntry is the body of a Consul service registration.
	catalogEntry struct {
		ID      string
		Name    string
		Address string
		Port    uint16
		Meta    map[string]string
	}
)

// NewPlatform returns the platform command.
func NewPlatform(errors io.Writer) *Platform { return &Platform{errors: errors} }

// Name implements subcommands.Command.
func (*Platform) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*Platform) Synopsis() string { return "run a stand-in of the platform's services" }

// Usage implements subcommands.Command.
func (*Platform) Usage() string {
	return "hickorylab platform --listen ADDRESS\n\nExample:\n  hickorylab platform --listen 127.0.0.1:8500\n\n"
}

// SetFlags implements subcommands.Command.
func (p *Platform) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&p.listen, "listen", "127.0.0.1:8500", "address to serve")
}

// Execute implements subcommands.Command.
func (p *Platform) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	standIn := consul.New()
	go standIn.Run(ctx.Done())
	return serve(ctx, p.errors, p.listen, standIn)
}

// NewEngine returns the engine command.
func NewEngine(errors io.Writer) *Engine { return &Engine{errors: errors} }

// Name implements subcommands.Command.
func (*Engine) Name() string { return "engine" }

// Synopsis implements subcommands.Command.
func (*Engine) Synopsis() string { return "run a stand-in of a model engine" }

// Usage implements subcommands.Command.
func (*Engine) Usage() string {
	return "hickorylab engine --id ID --role prefill|decode --listen ADDRESS\n\n" +
		"Example:\n  hickorylab engine --id prefill-1 --role prefill --listen 127.0.0.1:9001\n\n"
}

// SetFlags implements subcommands.Command.
func (e *Engine) SetFlags(flags *flag.FlagSet) {
	o := &e.options
	e.register.setFlags(flags)
	flags.StringVar(&e.listen, "listen", "127.0.0.1:9001", "address to serve")
	flags.StringVar(&e.fencing, "fencing", "checked", "checked or ignored")
	flags.StringVar(&o.Role, "role", "decode", "prefill or decode")
	flags.StringVar(&o.Model, "model", "catalogue-8b", "loaded model")
	flags.IntVar(&o.Slots, "slots", 20, "number of requests whose KV caches fit in memory")
	flags.IntVar(&o.PrefillRate, "prefillRate", 20000, "prompt tokens per second")
	flags.DurationVar(&o.TokenGap, "tokenGap", 8*time.Millisecond, "time between tokens of a batch of one")
	flags.DurationVar(&o.GapPerRequest, "gapPerRequest", 400*time.Microsecond, "time added to the token gap for each further request")
	flags.Int64Var(&o.LinkRate, "linkRate", 1_250_000_000, "bytes per second of the KV link")
	flags.Int64Var(&o.KVBytesPerToken, "kvBytesPerToken", 131072, "size of the KV cache of one token")
	flags.DurationVar(&o.KVLifetime, "kvLifetime", 800*time.Millisecond, "lifetime of a prefill result that no engine has fetched")
	flags.IntVar(&o.CacheBlocks, "cacheBlocks", 65536, "size of the prefix cache in blocks")
	flags.DurationVar(&o.LoadLag, "loadLag", 200*time.Millisecond, "age of the load report")
	flags.DurationVar(&o.EventLag, "eventLag", 200*time.Millisecond, "age of cache events")
	flags.Float64Var(&o.EventLoss, "eventLoss", 0, "share of cache events that are lost")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the random numbers")
}

// Execute implements subcommands.Command.
func (e *Engine) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	e.options.ChecksFence = e.fencing == "checked"
	e.options.Crash = func() { os.Exit(1) }
	standIn := engine.New(e.options)
	go standIn.Run(ctx.Done())
	go e.register.run(ctx, e.listen, map[string]string{
		"role": e.options.Role, "model": e.options.Model, "slots": strconv.Itoa(e.options.Slots), "fencing": e.fencing,
	})
	return serve(ctx, e.errors, e.listen, standIn.Handler(e.listen))
}

// NewService returns the service command.
func NewService(errors io.Writer) *Service { return &Service{errors: errors} }

// Name implements subcommands.Command.
func (*Service) Name() string { return "service" }

// Synopsis implements subcommands.Command.
func (*Service) Synopsis() string { return "run a stand-in of a plain service" }

// Usage implements subcommands.Command.
func (*Service) Usage() string {
	return "hickorylab service --id ID --service NAME --listen ADDRESS\n\n" +
		"Example:\n  hickorylab service --id cart-1 --service cart --listen 127.0.0.1:9101\n\n"
}

// SetFlags implements subcommands.Command.
func (s *Service) SetFlags(flags *flag.FlagSet) {
	s.register.setFlags(flags)
	flags.StringVar(&s.listen, "listen", "127.0.0.1:9101", "address to serve")
	flags.StringVar(&s.name, "service", "cart", "name of the service")
	flags.DurationVar(&s.latency, "latency", 5*time.Millisecond, "duration of a call")
}

// Execute implements subcommands.Command.
func (s *Service) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	go s.register.run(ctx, s.listen, map[string]string{"role": "plain", "service": s.name})
	return serve(ctx, s.errors, s.listen, service.New(s.name, s.latency))
}

func (r *registration) setFlags(flags *flag.FlagSet) {
	flags.StringVar(&r.platform, "platform", "127.0.0.1:8500", "address of the platform")
	flags.StringVar(&r.id, "id", "server-1", "id in the server list")
	flags.StringVar(&r.failureDomain, "failureDomain", "salt-lake", "failure domain")
}

// run registers the stand-in and retries until the platform accepts the
// registration.
func (r *registration) run(ctx context.Context, listen string, meta map[string]string) {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return
	}
	meta["failureDomain"] = r.failureDomain
	meta["state"] = "live"
	data, err := json.Marshal(catalogEntry{ID: r.id, Name: "backend", Address: address.Addr().String(), Port: address.Port(), Meta: meta})
	if err != nil {
		return
	}
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for !r.register(ctx, data) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// register sends the registration and reports whether the platform accepted it.
func (r *registration) register(ctx context.Context, data []byte) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.platform+"/v1/agent/service/register", bytes.NewReader(data))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serve serves HTTP until ctx is done.
func serve(ctx context.Context, errors io.Writer, listen string, handler http.Handler) subcommands.ExitStatus {
	server := &http.Server{Addr: listen, Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		fmt.Fprintf(errors, "hickorylab: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
