/**
 * Estimators of the scheduling module: means, medians, a survival curve and the service times that rest on
 * them. They take numbers in and return numbers, and decide nothing. They use the settings' types of
 * {@code lineward.scheduling} only, run on the scheduler's thread, and are bounded by their windows and bins.
 */
package lineward.scheduling.estimation;
