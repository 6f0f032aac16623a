//go:build pins

package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/frankban/quicktest"
	_ "github.com/goccy/go-yaml"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
