// Command hickory is the command-line tool of hickoryfront's operators.
package main

import (
	"context"
	"os"

	"github.com/hickoryfront/hickoryfront/hickory/internal/command/root"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
)

func main() {
	os.Exit(root.Run(context.Background(), factory.New(), os.Args[1:]))
}
