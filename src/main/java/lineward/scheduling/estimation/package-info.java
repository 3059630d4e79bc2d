/**
 * Estimators of the scheduling module: means, medians, a survival curve, and the service times that are based
 * on them. They contain no scheduling rules. They depend only on the settings types of
 * {@code lineward.scheduling}, run on the scheduler's thread, and their memory is bounded by their time
 * windows and bins.
 */
package lineward.scheduling.estimation;
