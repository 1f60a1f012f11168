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
	// clockTicks is the unit of processor time in /proc: one hundredth of a
	// second.
	clockTicks   = 100
	bytesPerKiB  = 1024
	callsMetric  = "hickoryfront_platform_calls_total{"
	listMetric   = "hickoryfront_host_list_calls_total"
	statUserTime = 11 // fields after the command's name
)

// writeClasses are the calls that the platform counts as writes.
var writeClasses = map[string]bool{`class="put"}`: true, `class="delete"}`: true, `class="lease"}`: true}

// reading is what one process has used since it started.
type reading struct {
	cpuSeconds float64
	bytes      float64 // read and written, sockets included
	memory     float64 // resident, in bytes
	reads      float64 // of the platform; a waiting watch is one
	writes     float64 // of the platform, leases included
}

func readUsage(d *daemon) (reading, error) {
	// The metrics go first: what they take is not part of the period then.
	r, err := platformCalls(d)
	if err != nil {
		return r, err
	}
	if r.cpuSeconds, err = processorTime(d.command.Process.Pid); err != nil {
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

// processorTime returns user and system time.
func processorTime(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statUserTime+1 {
		return 0, fmt.Errorf("stat of process %d has %d fields", pid, len(fields))
	}
	var ticks float64
	for _, field := range fields[statUserTime : statUserTime+2] {
		value, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return 0, err
		}
		ticks += value
	}
	return ticks / clockTicks, nil
}

// sumFields adds up the named fields of a file in /proc.
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

// platformCalls reads the daemon's own counts.
func platformCalls(d *daemon) (reading, error) {
	response, err := http.Get("http://" + d.operator + "/metrics")
	if err != nil {
		return reading{}, err
	}
	defer response.Body.Close()
	return countCalls(response.Body)
}

func countCalls(text io.Reader) (reading, error) {
	var r reading
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || !(strings.HasPrefix(name, callsMetric) || name == listMetric) {
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
