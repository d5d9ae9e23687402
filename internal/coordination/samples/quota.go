package samples

import "oleanderfall.example/oleanderfall/internal/state/model"

// liveShare is the part of an engine's slots that training leaves to live requests
// while none of them waits.
const liveShare = 8

// Quota is the number of samples that a trainer may run at once on an engine. Trainers
// divide by share what live requests leave; while requests wait at the engine, only
// the deployment's floor for training is left.
func Quota(d model.Deployment, queued int, share, shares float64) int {
	slots := float64(d.MaxRunning - max(1, d.MaxRunning/liveShare))
	if queued > 0 {
		slots = d.TrainingFloor * float64(d.MaxRunning)
	}
	if shares <= 0 {
		return 1
	}
	return max(1, int(slots*share/shares))
}
