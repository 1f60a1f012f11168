package bench

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
)

const (
	// clockTicks is the number of clock ticks per second. The unit of processor
	// time in /proc is one tick, one hundredth of a second.
	clockTicks        = 100
	bytesPerKiB       = 1024
	callsMetric       = "hickoryfront_platform_calls_total{"
	hostListMetric    = "hickoryfront_host_list_calls_total"
	statUserTimeField = 11 // index of the user time after the command name; the system time follows
)

// writeClasses are the classes of platform calls that count as writes.
var writeClasses = map[string]bool{`class="put"}`: true, `class="delete"}`: true, `class="lease"}`: true}

// usage is the resource usage of a daemon since its start. The memory is the
// current value.
type usage struct {
	cpuSeconds float64
	bytes      float64 // read and written, including sockets
	memory     float64 // resident, in bytes
	reads      float64 // platform reads; a blocking watch counts once
	writes     float64 // platform writes, including lease calls
}

func readUsage(d *daemon) (usage, error) {
	// The metrics are read first, so that the cost of the first read is not part of
	// the measured period.
	r, err := platformCalls(d)
	if err != nil {
		return r, err
	}
	if r.cpuSeconds, err = cpuTime(d.command.Process.Pid); err != nil {
		return r, err
	}
	if r.bytes, err = sumFields(d.command.Process.Pid, "io", "rchar:", "wchar:"); err != nil {
		return r, err
	}
	if r.memory, err = sumFields(d.command.Process.Pid, "status", "VmRSS:"); err != nil {
		return r, err
	}
	r.memory *= bytesPerKiB
	return r, nil
}

// cpuTime returns the user and system time of a process in seconds.
func cpuTime(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statUserTimeField+1 {
		return 0, fmt.Errorf("stat of process %d has %d fields", pid, len(fields))
	}
	var ticks float64
	for _, field := range fields[statUserTimeField : statUserTimeField+2] {
		value, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return 0, err
		}
		ticks += value
	}
	return ticks / clockTicks, nil
}

// sumFields returns the sum of the named fields of a process's file in /proc.
func sumFields(pid int, file string, names ...string) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, err
	}
	var sum float64
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		for _, name := range names {
			if len(fields) > 1 && fields[0] == name {
				value, err := strconv.ParseFloat(fields[1], 64)
				if err != nil {
					return 0, err
				}
				sum += value
			}
		}
	}
	return sum, nil
}

// platformCalls reads the daemon's counts of platform calls from its metrics.
func platformCalls(d *daemon) (usage, error) {
	response, err := http.Get("http://" + d.operatorAddress + "/metrics")
	if err != nil {
		return usage{}, err
	}
	defer response.Body.Close()
	return countCalls(response.Body)
}

func countCalls(text io.Reader) (usage, error) {
	var r usage
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || !(strings.HasPrefix(name, callsMetric) || name == hostListMetric) {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return r, err
		}
		if writeClasses[strings.TrimPrefix(name, callsMetric)] {
			r.writes += number
		} else {
			r.reads += number
		}
	}
	return r, lines.Err()
}
