// Hickoryd is the program of the daemons of hickoryfront, a router for separate prefill
// and decode pools: the subcommand serve runs the daemon for a platform with the Consul
// HTTP API (internal/node), and edge the one for the users' own platform (internal/edge),
// whose protocol is the module platform.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/command"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(command.NewServe(os.Stderr), "")
	subcommands.Register(command.NewCheck(os.Stdout, os.Stderr), "")
	subcommands.Register(command.NewEdge(os.Stdout, os.Stderr), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
