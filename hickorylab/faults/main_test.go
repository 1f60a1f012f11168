// Package faults_test proves what must always hold with real processes that
// are killed, paused and cut off.
package faults_test

import (
	"os"
	"testing"

	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

var binaries harness.Binaries

func TestMain(m *testing.M) {
	os.Exit(harness.Main(m, &binaries))
}
