// Package version implements "hickory version", which prints the builds of this
// program and of the daemon.
package version

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/hickoryfront/hickoryfront/hickory/internal/adminapi"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

type (
	// Reader reads a daemon's build.
	Reader interface {
		Version(ctx context.Context) (adminapi.Version, error)
	}

	// Options are the options of the command.
	Options struct {
		Out  io.Writer
		JSON bool
	}

	builds struct {
		Command adminapi.Version  `json:"command"`
		Daemon  *adminapi.Version `json:"daemon,omitempty"`
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Out: f.Streams.Out}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "version",
		Short:   "print the builds of this program and, if HICKORY_ADDRESS is set, of the daemon",
		Example: "  hickory version\n  hickory version --json\n",
		Flags:   func(flags *flag.FlagSet) { flags.BoolVar(&o.JSON, "json", false, "print JSON") },
		Run: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return factory.Usagef("version takes no arguments")
			}
			if f.Getenv(factory.EnvAddress) == "" {
				return Run(ctx, o, nil)
			}
			client, err := f.Client()
			if err != nil {
				return err
			}
			return Run(ctx, o, client)
		},
	}
}

// Run prints the builds. If reader is nil, it prints only the program's own build.
func Run(ctx context.Context, o *Options, reader Reader) error {
	b := builds{Command: ownBuild()}
	if reader != nil {
		daemon, err := reader.Version(ctx)
		if err != nil {
			return err
		}
		b.Daemon = &daemon
	}
	if o.JSON {
		return tableprinter.JSON(o.Out, b)
	}
	rows := [][]string{row("hickory", b.Command)}
	if b.Daemon != nil {
		rows = append(rows, row("hickoryd", *b.Daemon))
	}
	return tableprinter.Table(o.Out, []string{"program", "version", "source", "go"}, rows)
}

func row(program string, v adminapi.Version) []string {
	return []string{program, v.Version, fmt.Sprintf("%.12s", v.Commit), v.GoVersion}
}

func ownBuild() adminapi.Version {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return adminapi.Version{Version: "unknown"}
	}
	v := adminapi.Version{Version: info.Main.Version, GoVersion: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Commit = s.Value
		}
	}
	return v
}
