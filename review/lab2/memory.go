package main

import (
	"fmt"
	"os"
	"strings"
)

// memoryOf returns what a process that the case started holds in memory.
func memoryOf(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return err.Error()
	}
	var found []string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "VmRSS") || strings.HasPrefix(line, "VmHWM") {
			found = append(found, strings.Join(strings.Fields(line), " "))
		}
	}
	return strings.Join(found, ", ")
}
