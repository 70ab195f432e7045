import {
  AutoscalingInput,
  AutoscalingSettings,
  AutoscalingState,
  DailyProfile,
  PendingForecast,
} from './autoscaling-types.js';
import {clamp, findQuantile, smooth, updateTrend} from './smoothing.js';

const DAY_MS = 86_400_000;

/** Slots per day. 15-minute slots follow the morning rise without being noisy. */
const PROFILE_SLOTS = 96;

/** Averaging period of the profile, in days. */
const PROFILE_DAYS = 5;

/** Minimum history before the profile is used; until then only the trend is used. */
const MIN_PROFILE_DAYS = 0.9;

/** Number of forecast errors from which the headroom is computed. */
const MAX_ERROR_SAMPLES = 240;

/** Minimum time between two recorded forecasts. */
const FORECAST_INTERVAL_MS = 30_000;

/** With fewer forecast errors than this, `INITIAL_HEADROOM` applies. */
const MIN_ERROR_SAMPLES = 20;
const INITIAL_HEADROOM = 1.15;

/** Creates a profile without history. */
export function createProfile(): DailyProfile {
  return {slots: Array.from({length: PROFILE_SLOTS}, () => 0), days: 0};
}

/** Total demand of the input, in targets. */
export function sumDemand({demand}: AutoscalingInput): number {
  return demand.onDemandOnly + demand.standard + demand.batch;
}

/** Updates level, trend, daily profile and forecast errors with the current demand. */
export function updateForecast(
  state: AutoscalingState,
  input: AutoscalingInput,
  settings: AutoscalingSettings,
  nowMs: number,
): AutoscalingState {
  const total = sumDemand(input);
  const onDemandOnlyShare = total > 0 ? input.demand.onDemandOnly / total : state.onDemandOnlyShare;
  const batchShare = total > 0 ? input.demand.batch / total : state.batchShare;
  if (state.updatedMs === undefined) {
    return {
      ...state,
      updatedMs: nowMs,
      total: {level: total, perMs: 0},
      onDemandOnlyShare,
      batchShare,
    };
  }
  const elapsedMs = nowMs - state.updatedMs;
  const {levelTauMs, trendTauMs} = settings;
  const updated = {
    ...state,
    updatedMs: nowMs,
    total: updateTrend(state.total, total, elapsedMs, levelTauMs, trendTauMs),
    onDemandOnlyShare: smooth(
      state.onDemandOnlyShare,
      onDemandOnlyShare,
      elapsedMs,
      5 * levelTauMs,
    ),
    batchShare: smooth(state.batchShare, batchShare, elapsedMs, 5 * levelTauMs),
    profile: updateProfile(state.profile, input.timeOfDayMs, total, elapsedMs),
  };
  return updateErrorRatios(updated, total, input.timeOfDayMs, settings, nowMs);
}

function updateProfile(
  profile: DailyProfile,
  timeOfDayMs: number,
  total: number,
  elapsedMs: number,
): DailyProfile {
  const slotMs = DAY_MS / PROFILE_SLOTS;
  const index = Math.floor(timeOfDayMs / slotMs) % PROFILE_SLOTS;
  const before = profile.slots[index];
  // The first day approximates a plain mean of the slot; later days are averaged in.
  const tauMs = (profile.days < 1 ? 0.5 : Math.min(PROFILE_DAYS, profile.days)) * slotMs;
  const after = before === 0 ? total : smooth(before, total, elapsedMs, tauMs);
  return {
    slots: profile.slots.map((value, slot) => (slot === index ? after : value)),
    days: profile.days + elapsedMs / DAY_MS,
  };
}

/** Mean demand at a time of day, interpolated linearly between the midpoints of the slots. */
function interpolateProfile(profile: DailyProfile, timeOfDayMs: number): number {
  const position = (timeOfDayMs / DAY_MS) * PROFILE_SLOTS - 0.5 + PROFILE_SLOTS;
  const index = Math.floor(position);
  const left = profile.slots[index % PROFILE_SLOTS];
  const right = profile.slots[(index + 1) % PROFILE_SLOTS];
  return left + (right - left) * (position - index);
}

/** Demand forecast for the end of the lead time: the larger of trend and daily profile. */
export function forecastDemand(
  state: AutoscalingState,
  timeOfDayMs: number,
  settings: AutoscalingSettings,
): number {
  const {level, perMs} = state.total;
  const byTrend = Math.max(0, level + perMs * settings.leadTimeMs);
  if (state.profile.days < MIN_PROFILE_DAYS) return byTrend;
  const present = interpolateProfile(state.profile, timeOfDayMs);
  const ahead = interpolateProfile(state.profile, timeOfDayMs + settings.leadTimeMs);
  if (present <= 0 || ahead <= 0) return byTrend;
  const byProfile = level * clamp(ahead / present, 0.5, 2);
  // The profile forecasts a rise before it begins; the trend follows rises too steep for its slots.
  return Math.max(byTrend, byProfile);
}

function updateErrorRatios(
  state: AutoscalingState,
  total: number,
  timeOfDayMs: number,
  settings: AutoscalingSettings,
  nowMs: number,
): AutoscalingState {
  const due = state.forecasts.filter(forecast => forecast.dueMs <= nowMs);
  let forecasts: readonly PendingForecast[] = state.forecasts;
  let errorRatios = state.errorRatios;
  if (due.length > 0) {
    forecasts = forecasts.filter(forecast => forecast.dueMs > nowMs);
    const ratios = due.filter(({value}) => value > 0).map(({value}) => total / value);
    errorRatios = [...errorRatios, ...ratios].slice(-MAX_ERROR_SAMPLES);
  }
  const lastDueMs = forecasts.at(-1)?.dueMs ?? -Infinity;
  if (nowMs + settings.leadTimeMs - lastDueMs >= FORECAST_INTERVAL_MS) {
    const value = forecastDemand(state, timeOfDayMs, settings);
    forecasts = [...forecasts, {dueMs: nowMs + settings.leadTimeMs, value}];
  }
  return {...state, forecasts, errorRatios};
}

/**
 * Factor on the forecast that balances cost against shortfall: the quantile of past ratios of
 * demand to forecast at which one more target costs as much as it is expected to save.
 */
export function computeHeadroom(state: AutoscalingState, settings: AutoscalingSettings): number {
  if (state.errorRatios.length < MIN_ERROR_SAMPLES) return INITIAL_HEADROOM;
  const quantile = settings.shortfallPrice / (settings.shortfallPrice + 1);
  return clamp(findQuantile(state.errorRatios, quantile, INITIAL_HEADROOM), 1, 2);
}
