// Package command implements the subcommands of hickoryd.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/google/subcommands"
	"go.uber.org/fx"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/node"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/settings"
)

type (
	// Serve is the subcommand that runs the daemon for a platform with the Consul HTTP
	// API (internal/node). Edge runs the daemon for the users' own platform.
	Serve struct {
		errors   io.Writer
		settings string
	}

	// Check is the subcommand that checks a settings file of Serve. Edge checks its own
	// with the flag --check.
	Check struct {
		output   io.Writer
		errors   io.Writer
		settings string
	}
)

// NewServe returns the serve subcommand, which writes its log and errors to errors.
func NewServe(errors io.Writer) *Serve { return &Serve{errors: errors} }

// Name implements subcommands.Command.
func (*Serve) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*Serve) Synopsis() string { return "run the daemon" }

// Usage implements subcommands.Command.
func (*Serve) Usage() string {
	return "hickoryd serve --settings FILE\n\nRuns the daemon until it is signalled or drained.\n\n" +
		"Example:\n  hickoryd serve --settings host-1.ini\n\n"
}

// SetFlags implements subcommands.Command.
func (s *Serve) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&s.settings, "settings", "", "settings file")
}

// Execute implements subcommands.Command.
func (s *Serve) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s.settings == "" || flags.NArg() > 0 {
		fmt.Fprint(s.errors, "hickoryd: give the settings file with --settings\n")
		return subcommands.ExitUsageError
	}
	loaded, err := settings.Load(s.settings)
	if err != nil {
		fmt.Fprintf(s.errors, "hickoryd: %v\n", err)
		return subcommands.ExitUsageError
	}
	if err := run(ctx, loaded, s.errors); err != nil {
		fmt.Fprintf(s.errors, "hickoryd: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run runs the daemon until it is signalled or drained.
func run(ctx context.Context, s settings.Settings, output io.Writer) error {
	logger := &log.Logger{Handler: json.New(output), Level: log.MustParseLevel(s.Log.Level)}
	app := fx.New(node.Options(s, logger.WithField("host", s.Host.Name), time.Now()))
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-app.Wait()
	stopping, cancel := context.WithTimeout(ctx, app.StopTimeout())
	defer cancel()
	return app.Stop(stopping)
}

// NewCheck returns the check subcommand, which writes its result to output and its
// errors to errors.
func NewCheck(output, errors io.Writer) *Check { return &Check{output: output, errors: errors} }

// Name implements subcommands.Command.
func (*Check) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*Check) Synopsis() string { return "check a settings file" }

// Usage implements subcommands.Command.
func (*Check) Usage() string {
	return "hickoryd check --settings FILE\n\nChecks a settings file and exits.\n\nExample:\n  hickoryd check --settings host-1.ini\n\n"
}

// SetFlags implements subcommands.Command.
func (c *Check) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.settings, "settings", "", "settings file")
}

// Execute implements subcommands.Command.
func (c *Check) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || flags.NArg() > 0 {
		fmt.Fprint(c.errors, "hickoryd: give the settings file with --settings\n")
		return subcommands.ExitUsageError
	}
	if _, err := settings.Load(c.settings); err != nil {
		fmt.Fprintf(c.errors, "hickoryd: %v\n", err)
		return subcommands.ExitFailure
	}
	fmt.Fprintf(c.output, "%s is valid\n", c.settings)
	return subcommands.ExitSuccess
}
