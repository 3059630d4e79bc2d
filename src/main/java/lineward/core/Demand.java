package lineward.core;

/**
 * The fields of a request that decisions need.
 *
 * @param type the class's place in the settings
 * @param customer the tenant's place in the settings
 * @param timeLeftMs how long the client still waits
 * @param cost estimated work in milliseconds on one core; 0: not known
 * @param memoryMb estimated memory; 0: not known
 * @param group the group of tables; 0: none
 * @param repeat whether the client marks it as its retry
 */
public record Demand(
        int type, int customer, double timeLeftMs, double cost, double memoryMb, int group, boolean repeat) {}
