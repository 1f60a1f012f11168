package setting

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	maxNumber      = 1e9
	minSecretBytes = 16
)

// Duration returns a setter that accepts durations above zero.
func Duration(target *time.Duration) func(string) error {
	return func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 500ms or 2s", value)
		}
		if d <= 0 {
			return fmt.Errorf("%q must be above zero", value)
		}
		*target = d
		return nil
	}
}

// Number returns a setter that accepts numbers from 0 to 1e9.
func Number(target *float64) func(string) error {
	return numberUpTo(target, maxNumber)
}

// Fraction returns a setter that accepts numbers from 0 to 1.
func Fraction(target *float64) func(string) error {
	return numberUpTo(target, 1)
}

// Integer returns a setter that accepts integers of at least 0.
func Integer[T int | int64](target *T) func(string) error {
	return func(value string) error {
		i, err := strconv.ParseInt(value, 10, 64)
		if err != nil || i < 0 {
			return fmt.Errorf("%q is not a whole number of at least 0", value)
		}
		*target = T(i)
		return nil
	}
}

// Boolean returns a setter that accepts the values of strconv.ParseBool, such as
// true and false.
func Boolean(target *bool) func(string) error {
	return func(value string) error {
		b, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("%q is not true or false", value)
		}
		*target = b
		return nil
	}
}

// Text returns a setter that accepts any text.
func Text(target *string) func(string) error {
	return func(value string) error {
		*target = value
		return nil
	}
}

// Required returns a setter that accepts any text that is not empty.
func Required(target *string) func(string) error {
	return func(value string) error {
		if value == "" {
			return errors.New("missing; this key has no default")
		}
		*target = value
		return nil
	}
}

// Secret returns a setter that accepts text of at least 16 bytes.
func Secret(target *string) func(string) error {
	return func(value string) error {
		if len(value) < minSecretBytes {
			return fmt.Errorf("too short; use at least %d characters", minSecretBytes)
		}
		*target = value
		return nil
	}
}

// List returns a setter that accepts items separated by commas and drops empty
// ones.
func List(target *[]string) func(string) error {
	return func(value string) error {
		*target = nil
		for item := range strings.SplitSeq(value, ",") {
			if item = strings.TrimSpace(item); item != "" {
				*target = append(*target, item)
			}
		}
		return nil
	}
}

// OneOf returns a setter that accepts the given words.
func OneOf[T ~string](target *T, words ...T) func(string) error {
	return func(value string) error {
		if !slices.Contains(words, T(value)) {
			return fmt.Errorf("%q is not one of %v", value, words)
		}
		*target = T(value)
		return nil
	}
}

// URL returns a setter that accepts an absolute HTTP or HTTPS URL, or an empty
// text.
func URL(target *string) func(string) error {
	return func(value string) error {
		if value == "" {
			*target = ""
			return nil
		}
		u, err := url.Parse(value)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return fmt.Errorf("%q is not a URL such as http://10.0.0.1:8000", value)
		}
		*target = value
		return nil
	}
}

// AddrPort returns a setter that accepts an IP address with a port.
func AddrPort(target *netip.AddrPort) func(string) error {
	return func(value string) error {
		a, err := netip.ParseAddrPort(value)
		if err != nil {
			return fmt.Errorf("%q is not an address such as 10.0.0.1:8000", value)
		}
		*target = a
		return nil
	}
}

// AddrPorts returns a setter that accepts IP addresses with ports, separated by
// commas, or an empty text.
func AddrPorts(target *[]netip.AddrPort) func(string) error {
	return func(value string) error {
		var items []string
		if err := List(&items)(value); err != nil {
			return err
		}
		*target = nil
		for _, item := range items {
			var a netip.AddrPort
			if err := AddrPort(&a)(item); err != nil {
				return err
			}
			*target = append(*target, a)
		}
		return nil
	}
}

func numberUpTo(target *float64, limit float64) func(string) error {
	return func(value string) error {
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || !(f >= 0 && f <= limit) {
			return fmt.Errorf("%q is not a number from 0 to %g", value, limit)
		}
		*target = f
		return nil
	}
}
