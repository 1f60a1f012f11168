// Package factory provides commands with their streams, client and settings.
package factory

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/rollout"
)

const (
	// EnvAddress is the variable with the daemon's address.
	EnvAddress = "HICKORY_ADDRESS"
	// EnvToken is the variable with the operators' token.
	EnvToken = "HICKORY_TOKEN"
	// EnvCA is the variable with the path of the certificate authority's file.
	EnvCA = "HICKORY_CA"
	// EnvAuthor is the variable with the author of changes. By default the author is
	// the current user.
	EnvAuthor = "HICKORY_AUTHOR"

	// ExitConflict means that another operator changed the entry first.
	ExitConflict subcommands.ExitStatus = 3
	// ExitNotInForce means that a change is accepted, but not yet in force on
	// every live host.
	ExitNotInForce subcommands.ExitStatus = 4

	// StandardInput is the file name that stands for the standard input.
	StandardInput = "-"

	programName = "hickory"
)

// ErrUsage means that the command line is invalid.
var ErrUsage = errors.New("usage")

type (
	// Streams are the command's standard streams.
	Streams struct {
		In  io.Reader
		Out io.Writer
		Err io.Writer
	}

	// Factory provides commands with their dependencies.
	Factory struct {
		Streams Streams
		Getenv  func(string) string
	}

	// Command is one command of the program. It implements subcommands.Command.
	Command struct {
		Streams Streams
		Use     string
		Short   string
		Example string
		Flags   func(*flag.FlagSet)
		Run     func(ctx context.Context, args []string) error
	}
)

// New returns the factory of the real program.
func New() *Factory {
	return &Factory{Streams: Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, Getenv: os.Getenv}
}

// Client returns a client of the daemon at the address in EnvAddress.
func (f *Factory) Client() (*adminapi.Client, error) {
	address := f.Getenv(EnvAddress)
	if address == "" {
		return nil, fmt.Errorf("no daemon address; set %s, for example to http://10.0.0.1:8081", EnvAddress)
	}
	return adminapi.New(address, f.Getenv(EnvToken), f.Getenv(EnvCA))
}

// Addresses returns the operator addresses in the arguments, or the one in EnvAddress
// if there are no arguments.
func (f *Factory) Addresses(args []string) ([]string, error) {
	if len(args) > 0 {
		return args, nil
	}
	if address := f.Getenv(EnvAddress); address != "" {
		return []string{address}, nil
	}
	return nil, Usagef("give the operator addresses of hosts, such as 10.0.0.1:9464, or set %s", EnvAddress)
}

// NoArgs returns the run function of a command without arguments.
func (f *Factory) NoArgs(run func(ctx context.Context, client *adminapi.Client) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return Usagef("unexpected argument %q; the command takes no arguments", args[0])
		}
		client, err := f.Client()
		if err != nil {
			return err
		}
		return run(ctx, client)
	}
}

// OneArg returns the run function of a command with one argument. The argument what
// describes it in the usage error.
func (f *Factory) OneArg(what string, run func(ctx context.Context, arg string, client *adminapi.Client) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return Usagef("give one %s", what)
		}
		client, err := f.Client()
		if err != nil {
			return err
		}
		return run(ctx, args[0], client)
	}
}

// Author returns the name under which changes are recorded.
func (f *Factory) Author() string {
	if author := f.Getenv(EnvAuthor); author != "" {
		return author
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// Open opens a file, or the standard input when path is "-".
func (s Streams) Open(path string) (io.ReadCloser, error) {
	if path == StandardInput {
		return io.NopCloser(s.In), nil
	}
	return os.Open(path)
}

// ReadText returns the content of a file, or of the standard input when path is "-".
func (s Streams) ReadText(path string) (string, error) {
	in, err := s.Open(path)
	if err != nil {
		return "", err
	}
	defer in.Close()
	data, err := io.ReadAll(in)
	return string(data), err
}

// Usagef returns an ErrUsage with a formatted message.
func Usagef(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrUsage, fmt.Sprintf(format, args...))
}

// Name implements subcommands.Command.
func (c *Command) Name() string { return c.Use }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return c.Short }

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	return c.Short + "\n\nExamples:\n" + c.Example + "\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(flags *flag.FlagSet) {
	if c.Flags != nil {
		c.Flags(flags)
	}
}

// Execute implements subcommands.Command. It accepts flags after arguments too.
func (c *Command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positional(flags)
	if err != nil {
		return subcommands.ExitUsageError // the flag package has printed the error
	}
	err = c.Run(ctx, args)
	if err != nil {
		fmt.Fprintf(c.Streams.Err, "%s: %v\n", programName, err)
	}
	return exitStatus(err)
}

// positional parses the flags that follow arguments and returns the arguments.
func positional(flags *flag.FlagSet) ([]string, error) {
	var args []string
	for rest := flags.Args(); len(rest) > 0; rest = flags.Args() {
		args = append(args, rest[0])
		if err := flags.Parse(rest[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}

func exitStatus(err error) subcommands.ExitStatus {
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.Is(err, ErrUsage):
		return subcommands.ExitUsageError
	case errors.Is(err, adminapi.ErrConflict):
		return ExitConflict
	case errors.Is(err, rollout.ErrNotInForce):
		return ExitNotInForce
	}
	return subcommands.ExitFailure
}
