// Hickory is the operators' command of hickoryfront.
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
