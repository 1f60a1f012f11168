package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/google/subcommands"
	"go.uber.org/fx"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edge"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/linelog"
)

const (
	// settingsVariable is the environment variable that names the settings file if
	// the flag is not set.
	settingsVariable = "HICKORYFRONT_SETTINGS"
	// logFlushTimeout bounds the time for writing the last log lines at exit.
	logFlushTimeout = 100 * time.Millisecond
)

// Edge is the subcommand that runs the daemon for the users' own platform (internal/edge).
// Serve runs the daemon for a platform with the Consul HTTP API.
type Edge struct {
	output   io.Writer
	errors   io.Writer
	settings string
	// quotaBounds replaces the section quota of the settings, or is empty.
	quotaBounds string
	isCheck     bool
}

// NewEdge returns the edge subcommand, which writes its log to output and its
// errors to errors.
func NewEdge(output, errors io.Writer) *Edge { return &Edge{output: output, errors: errors} }

// Name implements subcommands.Command.
func (*Edge) Name() string { return "edge" }

// Synopsis implements subcommands.Command.
func (*Edge) Synopsis() string { return "run the daemon on the users' platform" }

// Usage implements subcommands.Command.
func (*Edge) Usage() string {
	return "hickoryd edge [--settings FILE] [--quota-bounds WINDOW,OVERSHOOT,SLACK] [--check]\n\nRuns the daemon on the users' platform until it is signalled.\n" +
		"Without --settings, " + settingsVariable + " names the file. A deployment that knows the bounds\nof quotas as separate values, or doesn't know them, passes them with --quota-bounds.\n\nExample:\n  hickoryd edge --settings host-1.ini\n\n"
}

// SetFlags implements subcommands.Command.
func (e *Edge) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&e.settings, "settings", os.Getenv(settingsVariable), "settings file")
	flags.StringVar(&e.quotaBounds, "quota-bounds", "", "window in seconds, overshoot and slack of quotas, in place of section quota; empty parts keep the settings")
	flags.BoolVar(&e.isCheck, "check", false, "check the settings file and exit")
}

// Execute implements subcommands.Command.
func (e *Edge) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	signal.Ignore(syscall.SIGHUP) // until run handles it; by default it would end the process
	if e.settings == "" || flags.NArg() > 0 {
		fmt.Fprintf(e.errors, "hickoryd: give the settings file with --settings or %s\n", settingsVariable)
		return subcommands.ExitUsageError
	}
	loaded, err := edge.LoadSettings(e.settings)
	if err == nil {
		err = loaded.SetQuotaBounds(e.quotaBounds)
	}
	if err != nil {
		fmt.Fprintf(e.errors, "hickoryd: %v\n", err)
		return subcommands.ExitUsageError
	}
	if e.isCheck {
		fmt.Fprintf(e.output, "%s is valid\n", e.settings)
		return subcommands.ExitSuccess
	}
	if err := e.run(ctx, loaded); err != nil {
		fmt.Fprintf(e.errors, "hickoryd: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run runs the daemon until SIGINT or SIGTERM. On SIGHUP it reads the settings file again,
// only to check it and to log whether one of the settings that LogRestartNeeded compares
// has changed.
func (e *Edge) run(ctx context.Context, s edge.Settings) error {
	lines := linelog.New(e.output)
	defer lines.Close(logFlushTimeout)
	logger := (&log.Logger{Handler: json.New(lines), Level: log.MustParseLevel(s.LogLevel)}).WithField("host", s.Name)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	var daemon *edge.Daemon
	app := fx.New(edge.Options(s, logger), fx.Populate(&daemon))
	stopped := app.Wait()
	if err := app.Start(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-hangups:
			e.checkSettings(daemon, logger)
			continue
		case <-stopped:
		}
		break
	}
	stopping, cancel := context.WithTimeout(ctx, app.StopTimeout())
	defer cancel()
	return app.Stop(stopping)
}

// checkSettings reads the settings file again and logs the result. The daemon keeps the
// settings that it was started with.
func (e *Edge) checkSettings(daemon *edge.Daemon, logger log.Interface) {
	next, err := edge.LoadSettings(e.settings)
	if err != nil {
		logger.WithError(err).Error("can't read the settings again; keeping the current ones")
		return
	}
	daemon.LogRestartNeeded(next)
}
