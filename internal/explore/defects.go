package explore

import (
	_ "embed"

	"pitchfield/internal/defects"
)

//go:embed defects.toml
var defectsText []byte

// Defects returns the defects of defects.toml, which the exploration has to find.
func Defects() ([]defects.Defect, error) { return defects.Read(defectsText) }
