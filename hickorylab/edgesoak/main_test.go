// Package edgesoak_test runs real hosts of the users' platform under random
// faults and compares what callers received with what backend servers ran.
package edgesoak_test

import (
	"os"
	"testing"

	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

var binaries harness.Binaries

func TestMain(m *testing.M) {
	os.Exit(harness.Main(m, &binaries))
}
