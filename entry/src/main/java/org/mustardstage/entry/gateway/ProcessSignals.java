package org.mustardstage.entry.gateway;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/** Handles the signal that tells a process to read its settings anew, where the JVM can. */
final class ProcessSignals {
  private ProcessSignals() {}

  /** Runs {@code action} when the signal comes, in place of the JVM's default, which is to end. */
  static void setReloadHandler(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> {
                action.run();
                return null;
              });
      Object hangup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
    } catch (ClassNotFoundException
        | NoSuchMethodException
        | InstantiationException
        | IllegalAccessException
        | InvocationTargetException e) {
      System.err.println("mustardstage: settings can't be reloaded by a signal: " + e);
    }
  }
}
