// Package factory hands commands their streams, client and settings.
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
	// EnvAddress names the daemon to ask.
	EnvAddress = "HICKORY_ADDRESS"
	// EnvToken holds the operators' token.
	EnvToken = "HICKORY_TOKEN"
	// EnvCA names the file of the certificate authority.
	EnvCA = "HICKORY_CA"
	// EnvAuthor names the author of changes; default: the user.
	EnvAuthor = "HICKORY_AUTHOR"

	// ExitConflict means that another operator changed the entry first.
	ExitConflict subcommands.ExitStatus = 3
	// ExitNotInForce means that a change is accepted, but not yet in force on
	// every live host.
	ExitNotInForce subcommands.ExitStatus = 4

	// StandardInput names the standard input where a file is asked for.
	StandardInput = "-"

	programName = "hickory"
)

// ErrUsage marks a command line that can't be understood.
var ErrUsage = errors.New("usage")

type (
	// Streams are the command's standard streams.
	Streams struct {
		In  io.Reader
		Out io.Writer
		Err io.Writer
	}

	// Factory hands commands what they depend on.
	Factory struct {
		Streams Streams
		Getenv  func(string) string
	}

	// Command is one command with its flags bound to its options.
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

// Client returns a client of the daemon that the environment names.
func (f *Factory) Client() (*adminapi.Client, error) {
	address := f.Getenv(EnvAddress)
	if address == "" {
		return nil, fmt.Errorf("no daemon is named; set %s, such as http://10.0.0.1:8081", EnvAddress)
	}
	return adminapi.New(address, f.Getenv(EnvToken), f.Getenv(EnvCA))
}

// Addresses returns the operator addresses that the arguments name, or the one of
// the environment.
func (f *Factory) Addresses(args []string) ([]string, error) {
	if len(args) > 0 {
		return args, nil
	}
	if address := f.Getenv(EnvAddress); address != "" {
		return []string{address}, nil
	}
	return nil, Usagef("name hosts by their operator addresses, such as 10.0.0.1:9464, or set %s", EnvAddress)
}

// NoArgs returns the run function of a command without arguments.
func (f *Factory) NoArgs(run func(ctx context.Context, client *adminapi.Client) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return Usagef("%q is not expected here; the command takes no arguments", args[0])
		}
		client, err := f.Client()
		if err != nil {
			return err
		}
		return run(ctx, client)
	}
}

// OneArg returns the run function of a command with one argument, which what
// describes.
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

// ReadText reads what Open opens.
func (s Streams) ReadText(path string) (string, error) {
	in, err := s.Open(path)
	if err != nil {
		return "", err
	}
	defer in.Close()
	data, err := io.ReadAll(in)
	return string(data), err
}

// Usagef returns an error of the command line.
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

// Execute implements subcommands.Command. Flags may stand after arguments.
func (c *Command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positional(flags)
	if err != nil {
		return subcommands.ExitUsageError // the flags have said why
	}
	err = c.Run(ctx, args)
	if err != nil {
		fmt.Fprintf(c.Streams.Err, "%s: %v\n", programName, err)
	}
	return exitStatus(err)
}

// positional parses the flags that stand after arguments and returns the
// arguments.
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
