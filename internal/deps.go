//go:build deps

package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/pebble/v2/record"
	_ "github.com/cockroachdb/pebble/v2/vfs"
	_ "github.com/dghubble/sling"
	_ "github.com/gofrs/flock"
	_ "github.com/google/uuid"
	_ "github.com/integrii/flaggy"
	_ "github.com/rcrowley/go-metrics"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "gopkg.in/yaml.v3"
)
