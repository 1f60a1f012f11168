// Package edgesoak_test runs real hosts of the users' platform under random
// faults and checks what callers and backend servers have seen.
package edgesoak_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

var binaries harness.Binaries

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hickoryfront")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if binaries, err = harness.Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
