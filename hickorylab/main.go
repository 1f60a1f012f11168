// Hickorylab runs the stand-ins and tools that are used to test and measure
// hickoryfront.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickorylab/internal/command"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(command.NewPlatform(os.Stderr), "stand-ins")
	subcommands.Register(command.NewEngine(os.Stderr), "stand-ins")
	subcommands.Register(command.NewService(os.Stderr), "stand-ins")
	subcommands.Register(command.NewProof(os.Stderr), "tools")
	subcommands.Register(command.NewBench(os.Stdout, os.Stderr), "tools")
	subcommands.Register(command.NewLoad(os.Stdout, os.Stderr), "tools")
	subcommands.Register(command.NewReplay(os.Stdout, os.Stderr), "tools")
	subcommands.Register(command.NewTrace(os.Stderr), "tools")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
